package org.jacinthwharf.process.gateway;

/**
 * Gives each call of a gateway an id of its own, since callers use theirs again.
 *
 * <p>Not thread-safe.
 */
final class CallIds {
    private long mCalls;

    /** Returns an id that begins with that of the caller, for logs. */
    String next(String callerRequestId) {
        return callerRequestId + "#" + ++mCalls;
    }
}
