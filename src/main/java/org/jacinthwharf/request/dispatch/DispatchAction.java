package org.jacinthwharf.request.dispatch;

import org.jacinthwharf.process.metrics.RefusalReason;

/** What the gateway has to do with a request. Immutable. */
public sealed interface DispatchAction<R> {
    /** Send the request to a server; its place there is taken. */
    record Place<R>(R call, Placement placement) implements DispatchAction<R> {}

    /**
     * Answer that the request has not run.
     *
     * @param retryAfterMillis when the caller may come back
     */
    record Refuse<R>(R call, RefusalReason reason, long retryAfterMillis)
            implements DispatchAction<R> {}
}
