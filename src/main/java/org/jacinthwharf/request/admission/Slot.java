package org.jacinthwharf.request.admission;

import java.util.Optional;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.VmId;

/**
 * The right to have one request running at one backend server.
 *
 * <p>Immutable.
 *
 * @param serverIncarnation incarnation of the server that the slot was granted for
 * @param address {@code ip:port} of the server
 * @param number distinct among all slots of the server, over all owners
 * @param owner the owner that granted the slot; empty for a start without a view
 * @param cold whether the owner considered the server cold when it granted the slot
 * @param usableUntilNanos time on this router's clock after which the request must not be written;
 *     must be checked again immediately before the write, since the process may have been frozen
 */
public record Slot(
        BackendServerId server,
        long serverIncarnation,
        String address,
        PoolId pool,
        long number,
        Optional<VmId> owner,
        boolean cold,
        long usableUntilNanos) {}
