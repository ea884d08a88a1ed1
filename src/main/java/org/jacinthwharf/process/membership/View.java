package org.jacinthwharf.process.membership;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Comparator;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;

/**
 * What a router knows of the current view of its failure domain.
 *
 * <p>Immutable. A copy may outlive its lease; whoever acts on it compares the lease with a clock
 * that it reads right before it acts.
 *
 * @param epoch number of the view; views with equal epochs differ in their coordinator
 * @param coordinator the router that issued the view
 * @param members the routers among which backend servers are divided
 * @param leaseValidUntilNanos end of this router's own lease, {@code Long.MIN_VALUE} without one
 * @param previousLapsedAtNanos time from which no router acts on an earlier view
 */
public record View(
        long epoch,
        RouterIncarnation coordinator,
        ImmutableSortedSet<RouterIncarnation> members,
        long leaseValidUntilNanos,
        long previousLapsedAtNanos) {

    /** Order of members by VM and incarnation. */
    public static final Comparator<RouterIncarnation> MEMBER_ORDER =
            Comparator.comparing(RouterIncarnation::vm)
                    .thenComparingLong(RouterIncarnation::incarnation);

    /** Returns whether this router's lease is valid at {@code nowNanos}; if not: standalone. */
    public boolean isValid(long nowNanos) {
        return nowNanos < leaseValidUntilNanos;
    }

    /** Returns this view for a router that gave up its lease. */
    View withoutLease() {
        return new View(epoch, coordinator, members, Long.MIN_VALUE, previousLapsedAtNanos);
    }

    /** Returns the VMs of the members. */
    public ImmutableSortedSet<VmId> memberVms() {
        return members.stream()
                .map(RouterIncarnation::vm)
                .collect(ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
    }
}
