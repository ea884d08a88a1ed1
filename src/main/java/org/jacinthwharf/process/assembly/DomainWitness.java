package org.jacinthwharf.process.assembly;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jacinthwharf.process.control.LeaseWitness;
import org.jacinthwharf.process.membership.DomainVoters;
import org.jacinthwharf.process.membership.LeaseTimes;
import org.jacinthwharf.process.membership.LeaseVoter;
import org.jacinthwharf.wire.generated.Envelope;

/**
 * The control group's vote in the failure domains, one voter each.
 *
 * <p>Used on the event loop only. Invariant: a member that starts to lead knows no earlier votes,
 * so its voters are silent until those have lapsed.
 */
final class DomainWitness implements LeaseWitness {
    // A deposed leader votes until it notices, at most one election timeout of 2 s later.
    private static final long DEPOSED_NANOS = 2_000_000_000L;
    private static final long INITIAL_WAIT_NANOS = LeaseTimes.LEASE_NANOS + DEPOSED_NANOS;

    private final Map<String, LeaseVoter> mVoters = new HashMap<>();
    private long mLeadingSinceNanos;

    @Override
    public void onLeading(long nowNanos) {
        mVoters.clear();
        mLeadingSinceNanos = nowNanos;
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
            // Without members it only confirms a round and needs no answer.
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
                d -> new LeaseVoter(DomainVoters.WITNESS, mLeadingSinceNanos, INITIAL_WAIT_NANOS));
    }
}
