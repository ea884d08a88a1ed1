package org.jacinthwharf.process.membership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Collection;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.VmId;

/**
 * The configured voters of a failure domain.
 *
 * <p>Immutable. The number of voters is odd: the witness counts when the number of routers is even.
 * Every process of a failure domain must be configured with the same routers, since two majorities
 * share a voter only then.
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

    /** Returns whether {@code voter}, a VM id or {@link #WITNESS}, votes here. */
    boolean isVoter(String voter) {
        return voter.equals(WITNESS)
                ? hasWitness()
                : VmId.parse(voter).map(routers::contains).orElse(false);
    }
}
