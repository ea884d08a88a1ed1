package org.jacinthwharf.process.control;

import java.util.Optional;
import org.jacinthwharf.wire.generated.Envelope;

/**
 * Votes for the control group in the coordinator elections of failure domains (the witness).
 *
 * <p>Called on the event loop only, and only on a member that a majority has just confirmed as
 * leader, so that the group has one vote.
 */
public interface LeaseWitness {
    /**
     * Takes note that this member started to lead.
     *
     * <p>It does not know the votes of the leader before it, and must wait one lease duration
     * before its first vote, as a voter that restarted.
     */
    void onLeading(long nowNanos);

    /** Answers a lease vote request or a view renewal; empty if there is nothing to send back. */
    Optional<Envelope> answer(Envelope message, long nowNanos);

    /** Returns a witness that never votes. */
    static LeaseWitness silent() {
        return new LeaseWitness() {
            @Override
            public void onLeading(long nowNanos) {}

            @Override
            public Optional<Envelope> answer(Envelope message, long nowNanos) {
                return Optional.empty();
            }
        };
    }
}
