package org.jacinthwharf.request.admission;

import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.PoolOffer;

/**
 * An action that {@link OwnerAdmission} requests from its caller.
 *
 * <p>Immutable. Actions must be executed in the order in which they are returned.
 */
public sealed interface OwnerAction {
    /** Sends a grant or a recall to a router, which may be this one. */
    record Send(VmId to, Envelope message) implements OwnerAction {}

    /**
     * Sends an offer to all routers of the region, and to routers of other regions that have sent
     * demand for the pool.
     */
    record Publish(PoolOffer offer) implements OwnerAction {}
}
