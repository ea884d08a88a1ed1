package org.jacinthwharf.process.membership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSortedSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.VmId;

/**
 * The configured voters of a failure domain.
 *
 * <p>Immutable. The number of voters is odd: the witness counts when the number of routers is even.
 * Two majorities share a voter only if all processes are configured with the same routers: routers
 * that know {A, B} count B and the witness as a majority, and those that know {A, B, C} count A and
 * C.
 *
 * <p>Safe change of the configured routers, one added or removed at a time:
 *
 * <ol>
 *   <li>Take the failure domain out of service and wait until {@code status} shows the order as in
 *       force.
 *   <li>Stop all routers of the failure domain, the one to be removed included, and wait {@link
 *       LeaseTimes#LEASE_NANOS} after the last one ended, so that no lease is left.
 *   <li>Change the settings of all of them, start them, and put the failure domain back.
 * </ol>
 *
 * <p>Requests for votes and renewals carry a {@link #fingerprint}; a router neither votes for nor
 * follows a router with other voters. This cannot refuse two majorities that have no router in
 * common, as in the example above, so the procedure is needed.
 *
 * @param failureDomain the failure domain
 * @param routers its configured routers, at least one
 */
public record DomainVoters(FailureDomainId failureDomain, ImmutableSortedSet<VmId> routers) {
    /** Voter id of the control group's leader; no VM id has this form. */
    public static final String WITNESS = "@witness";

    /**
     * Creates the voters.
     *
     * @throws IllegalArgumentException if there are no routers
     */
    public DomainVoters {
        checkArgument(!routers.isEmpty(), "no routers in failure domain %s", failureDomain);
    }

    /** Returns the voters of {@code failureDomain}. */
    public static DomainVoters of(FailureDomainId failureDomain, Collection<VmId> routers) {
        return new DomainVoters(failureDomain, ImmutableSortedSet.copyOf(routers));
    }

    /** Returns whether the control group votes. */
    public boolean hasWitness() {
        return routers.size() % 2 == 0;
    }

    /** Returns the number of votes that make a majority. */
    public int majority() {
        return (routers.size() + (hasWitness() ? 1 : 0)) / 2 + 1;
    }

    /** Returns a number that differs, but for rare collisions, for other voters. */
    int fingerprint() {
        return Hashing.murmur3_32_fixed()
                .hashString(failureDomain + " " + routers, StandardCharsets.UTF_8)
                .asInt();
    }

    /** Returns whether {@code voter}, a VM id or {@link #WITNESS}, votes here. */
    boolean isVoter(String voter) {
        return voter.equals(WITNESS)
                ? hasWitness()
                : VmId.parse(voter).map(routers::contains).orElse(false);
    }
}
