package org.jacinthwharf.request.admission;

import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.PoolOffer;

/**
 * An action that an owner takes after an event, in the order of the returned list.
 *
 * <p>Immutable.
 */
public sealed interface OwnerAction {
    /** Sends a grant or a recall to a router, which may be this one. */
    record Send(VmId to, Envelope message) implements OwnerAction {}

    /**
     * Sends an offer to all routers of the region, and to those of other regions that report demand
     * for the pool.
     */
    record Publish(PoolOffer offer) implements OwnerAction {}
}
