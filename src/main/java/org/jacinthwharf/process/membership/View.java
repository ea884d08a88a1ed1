package org.jacinthwharf.process.membership;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Comparator;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;

/**
 * A view of a failure domain: its coordinator, its members and this router's lease.
 *
 * <p>Immutable. A copy may outlive its lease; callers compare the lease with the current time
 * immediately before they act on the view.
 *
 * @param epoch number of the view; different views with equal epochs have different coordinators
 * @param coordinator the router that issued the view
 * @param members the routers among which backend servers are divided
 * @param leaseExpiresAtNanos end of this router's own lease, {@code Long.MIN_VALUE} without one
 * @param previousLeasesExpiredAtNanos time from which no router acts on an earlier view
 */
public record View(
        long epoch,
        RouterIncarnation coordinator,
        ImmutableSortedSet<RouterIncarnation> members,
        long leaseExpiresAtNanos,
        long previousLeasesExpiredAtNanos) {

    /** Order of members by VM and incarnation. */
    public static final Comparator<RouterIncarnation> MEMBER_ORDER =
            Comparator.comparing(RouterIncarnation::vm)
                    .thenComparingLong(RouterIncarnation::incarnation);

    /**
     * Returns whether this router's lease is valid at {@code nowNanos}; without it, the router is
     * standalone.
     */
    public boolean isLeaseValid(long nowNanos) {
        return nowNanos < leaseExpiresAtNanos;
    }

    /** Returns this view without a lease. */
    View withoutLease() {
        return new View(epoch, coordinator, members, Long.MIN_VALUE, previousLeasesExpiredAtNanos);
    }

    /** Returns the VMs of the members. */
    public ImmutableSortedSet<VmId> memberVms() {
        return members.stream()
                .map(RouterIncarnation::vm)
                .collect(ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
    }
}
