package org.jacinthwharf.connection;

import java.util.concurrent.TimeUnit;

/**
 * Decides when an idle pooled connection to a backend server is dropped. Stateless and thread-safe.
 *
 * <p>A device between the two ends may have lost the state of an idle connection; the shorter the
 * idle time, the fewer requests find that out.
 */
public final class IdleConnectionExpiry {
    /** Longest idle time of a connection that is used again. */
    public static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private IdleConnectionExpiry() {}

    /** Returns whether a connection that was last used at {@code lastUsedNanos} is dropped. */
    public static boolean isExpired(long lastUsedNanos, long nowNanos) {
        return nowNanos - lastUsedNanos >= LIMIT_NANOS;
    }
}
