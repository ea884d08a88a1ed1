package org.jacinthwharf.request.admission;

import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.wire.generated.Envelope;

/**
 * An action that a router takes after an event, in the order of the returned list.
 *
 * <p>Immutable if the request type is.
 */
public sealed interface RouterAction<R> {
    /** Starts {@code request} with {@code slot}; its estimated cost is already charged. */
    record Start<R>(QueuedRequest<R> request, Slot slot) implements RouterAction<R> {}

    /** Refuses {@code request}, which was not run. */
    record Refuse<R>(QueuedRequest<R> request, RefusalReason reason) implements RouterAction<R> {}

    /**
     * Cancels an idempotent request that runs at a server above its limit. When it has ended, the
     * router must call {@code onEnded} and then {@code readmit}.
     */
    record Cancel<R>(QueuedRequest<R> request, Slot slot) implements RouterAction<R> {}

    /** Sends {@code message} to the router {@code to}, which may be this one. */
    record Send<R>(VmId to, Envelope message) implements RouterAction<R> {}
}
