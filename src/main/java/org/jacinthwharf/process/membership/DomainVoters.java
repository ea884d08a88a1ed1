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
 * <p>Immutable. The number of voters is odd: the witness votes if the number of routers is even.
 * Two majorities intersect only if all processes are configured with the same routers: for routers
 * configured with {A, B}, B and the witness are a majority, and for routers configured with {A, B,
 * C}, A and C are.
 *
 * <p>To change the configured routers safely, add or remove one at a time:
 *
 * <ol>
 *   <li>Take the failure domain out of service and wait until the {@code status} command reports it
 *       as out of service.
 *   <li>Stop all routers of the failure domain, including the one to be removed, and wait {@link
 *       LeaseDurations#LEASE_NANOS} after the last one stopped, so that no lease is valid.
 *   <li>Change the settings of all routers, start them, and return the failure domain to service.
 * </ol>
 *
 * <p>Vote requests and renewals carry a {@link #fingerprint}; a router neither votes for nor
 * follows a router with other voters. This does not prevent two majorities without a common router,
 * as in the example above, so the procedure is needed.
 *
 * @param failureDomain the failure domain
 * @param routers its configured routers, at least one
 */
public record DomainVoters(FailureDomainId failureDomain, ImmutableSortedSet<VmId> routers) {
    /** Voter id of the control group's leader. VM ids cannot have this form. */
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

    /** Returns whether the control group's leader votes as the witness. */
    public boolean hasWitness() {
        return routers.size() % 2 == 0;
    }

    /** Returns the number of votes that make a majority. */
    public int majority() {
        return (routers.size() + (hasWitness() ? 1 : 0)) / 2 + 1;
    }

    /** Returns a hash of the failure domain and its routers; collisions are rare. */
    int fingerprint() {
        return Hashing.murmur3_32_fixed()
                .hashString(failureDomain + " " + routers, StandardCharsets.UTF_8)
                .asInt();
    }

    /** Returns whether {@code voter}, a VM id or {@link #WITNESS}, is a voter. */
    boolean isVoter(String voter) {
        return voter.equals(WITNESS)
                ? hasWitness()
                : VmId.parse(voter).map(routers::contains).orElse(false);
    }
}
