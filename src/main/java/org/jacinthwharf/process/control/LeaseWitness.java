package org.jacinthwharf.process.control;

import java.util.Optional;
import org.jacinthwharf.wire.generated.Envelope;

/**
 * Votes on behalf of the control group in the coordinator elections of failure domains.
 *
 * <p>Called on the event loop only, and only on a member that a majority has just confirmed as
 * leader, so that the group has a single vote.
 */
public interface LeaseWitness {
    /**
     * Records that this member became the leader.
     *
     * <p>It does not know the votes of the previous leader, so like a restarted voter it must wait
     * one lease duration before its first vote.
     */
    void onLeadershipAcquired(long nowNanos);

    /** Returns the reply to a lease vote request or a view renewal; empty if none is needed. */
    Optional<Envelope> answer(Envelope message, long nowNanos);

    /** Returns a witness that never votes. */
    static LeaseWitness nonVoting() {
        return new LeaseWitness() {
            @Override
            public void onLeadershipAcquired(long nowNanos) {}

            @Override
            public Optional<Envelope> answer(Envelope message, long nowNanos) {
                return Optional.empty();
            }
        };
    }
}
