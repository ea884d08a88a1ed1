package org.jacinthwharf.process.assembly;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jacinthwharf.process.control.LeaseWitness;
import org.jacinthwharf.process.membership.DomainVoters;
import org.jacinthwharf.process.membership.LeaseDurations;
import org.jacinthwharf.process.membership.LeaseVoter;
import org.jacinthwharf.wire.generated.Envelope;

/**
 * Casts the control group's vote in coordinator elections, with one voter per failure domain.
 *
 * <p>Used on the event loop only. Invariant: a new leader does not know earlier votes, so its
 * voters do not vote until those have expired.
 */
final class DomainWitness implements LeaseWitness {
    // A deposed leader may vote until it detects that, at most one election timeout (2 s) later.
    private static final long DEPOSED_LEADER_NANOS = 2_000_000_000L;
    private static final long INITIAL_WAIT_NANOS =
            LeaseDurations.LEASE_NANOS + DEPOSED_LEADER_NANOS;

    private final Map<String, LeaseVoter> mVoters = new HashMap<>();
    private long mLeaderSinceNanos;

    @Override
    public void onLeadershipAcquired(long nowNanos) {
        mVoters.clear();
        mLeaderSinceNanos = nowNanos;
    }

    @Override
    public Optional<Envelope> answer(Envelope message, long nowNanos) {
        if (message.hasLeaseVoteRequest()) {
            var request = message.getLeaseVoteRequest();
            var vote = voter(request.getFailureDomain()).onVoteRequest(request, nowNanos);
            return request.getWithdrawn()
                    ? Optional.empty()
                    : Optional.of(Envelope.newBuilder().setLeaseVote(vote).build());
        }
        if (message.hasViewRenewal()) {
            var renewal = message.getViewRenewal();
            // A renewal without members only confirms a round and needs no reply.
            if (renewal.getMembersCount() == 0) {
                return Optional.empty();
            }
            var ack = voter(renewal.getFailureDomain()).onRenewal(renewal, nowNanos);
            return Optional.of(Envelope.newBuilder().setViewAck(ack).build());
        }
        return Optional.empty();
    }

    private LeaseVoter voter(String failureDomain) {
        return mVoters.computeIfAbsent(
                failureDomain,
                d -> new LeaseVoter(DomainVoters.WITNESS, mLeaderSinceNanos, INITIAL_WAIT_NANOS));
    }
}
