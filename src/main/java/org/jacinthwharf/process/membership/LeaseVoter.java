package org.jacinthwharf.process.membership;

import org.jacinthwharf.wire.generated.LeaseVote;
import org.jacinthwharf.wire.generated.LeaseVoteRequest;
import org.jacinthwharf.wire.generated.ViewAck;
import org.jacinthwharf.wire.generated.ViewRenewal;

/**
 * Votes for the coordinator of one failure domain.
 *
 * <p>Invariant: from the receipt of a granted request on, the voter grants and acknowledges nothing
 * to any other candidate for {@link LeaseTimes#LEASE_NANOS}, except to one that the holder of its
 * promise named as successor when it stopped coordinating. It keeps no record across restarts and
 * is silent for its initial wait instead.
 *
 * <p>A control process creates one voter per failure domain when it becomes leader, with an initial
 * wait of the lease duration plus the time within which a deposed leader notices, and drops it when
 * it loses the leadership. Not thread-safe; used on the event loop.
 */
public final class LeaseVoter {
    private final String mId;
    private final long mSilentUntilNanos;
    private String mPromisedTo = "";
    private long mPromisedUntilNanos = Long.MIN_VALUE;
    private long mHighestEpoch;

    /** Part of the promise that a renewal made; a withdrawn vote does not shorten it. */
    private long mRenewedUntilNanos = Long.MIN_VALUE;

    /**
     * Creates a voter that starts now.
     *
     * @param id the voter in replies: a router incarnation or {@link DomainVoters#WITNESS}
     * @param initialWaitNanos time during which promises made before the start may still run
     */
    public LeaseVoter(String id, long nowNanos, long initialWaitNanos) {
        mId = id;
        mSilentUntilNanos = nowNanos + initialWaitNanos;
    }

    /** Decides on a vote request that was received at {@code nowNanos}. */
    public LeaseVote onVoteRequest(LeaseVoteRequest request, long nowNanos) {
        boolean granted = !request.getWithdrawn() && grant(request, nowNanos);
        if (request.getWithdrawn()) {
            release(request.getCandidate(), request.getEpoch());
        }
        return LeaseVote.newBuilder()
                .setFailureDomain(request.getFailureDomain())
                .setVoter(mId)
                .setEpoch(request.getEpoch())
                .setGranted(granted)
                .setHighestEpoch(mHighestEpoch)
                .build();
    }

    private boolean grant(LeaseVoteRequest request, long nowNanos) {
        boolean same = request.getCandidate().equals(mPromisedTo);
        // The coordinator that got the promise uses it no more and named the candidate.
        boolean handedOver =
                nowNanos >= mSilentUntilNanos
                        && !mPromisedTo.isEmpty()
                        && request.getHandedOverBy().equals(mPromisedTo)
                        && request.getEpoch() > mHighestEpoch;
        if (!(handedOver || isFreeFor(request.getCandidate(), nowNanos))
                || request.getEpoch() < mHighestEpoch
                || (request.getEpoch() == mHighestEpoch && !same)) {
            return false;
        }
        // Leases of members under a coordinator that handed over run on.
        if (!same && !handedOver) {
            mRenewedUntilNanos = Long.MIN_VALUE;
        }
        promise(request.getCandidate(), request.getEpoch(), nowNanos);
        return true;
    }

    /** Decides on a renewal that was received at {@code nowNanos}. */
    public ViewAck onRenewal(ViewRenewal renewal, long nowNanos) {
        boolean accepted =
                isFreeFor(renewal.getCoordinator(), nowNanos)
                        && renewal.getEpoch() >= mHighestEpoch;
        if (accepted) {
            promise(renewal.getCoordinator(), renewal.getEpoch(), nowNanos);
            mRenewedUntilNanos = mPromisedUntilNanos;
        }
        return ViewAck.newBuilder()
                .setFailureDomain(renewal.getFailureDomain())
                .setMember(mId)
                .setEpoch(renewal.getEpoch())
                .setRound(renewal.getRound())
                .setHighestEpoch(mHighestEpoch)
                .setAccepted(accepted)
                .build();
    }

    /** Returns whether the voter may promise itself to {@code candidate} now. */
    boolean isFreeFor(String candidate, long nowNanos) {
        return nowNanos >= mSilentUntilNanos
                && (candidate.equals(mPromisedTo) || nowNanos >= mPromisedUntilNanos);
    }

    /**
     * Ends a promise that its candidate no longer uses. A promise that carried a view stays, since
     * leases of members depend on it.
     */
    void release(String candidate, long epoch) {
        if (candidate.equals(mPromisedTo) && epoch == mHighestEpoch) {
            mPromisedUntilNanos = mRenewedUntilNanos;
        }
    }

    long highestEpoch() {
        return mHighestEpoch;
    }

    private void promise(String candidate, long epoch, long nowNanos) {
        mPromisedTo = candidate;
        mPromisedUntilNanos = nowNanos + LeaseTimes.LEASE_NANOS;
        mHighestEpoch = epoch;
    }
}
