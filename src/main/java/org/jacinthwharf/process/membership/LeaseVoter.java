package org.jacinthwharf.process.membership;

import org.jacinthwharf.wire.generated.LeaseVote;
import org.jacinthwharf.wire.generated.LeaseVoteRequest;
import org.jacinthwharf.wire.generated.ViewAck;
import org.jacinthwharf.wire.generated.ViewRenewal;

/**
 * Votes for the coordinator of one failure domain.
 *
 * <p>Invariant: for {@link LeaseDurations#LEASE_NANOS} after the receipt of a granted request, the
 * voter neither grants votes to nor acknowledges renewals of any other candidate, except one that
 * the holder of its promise named as successor when it stopped coordinating. The voter has no
 * durable state; after a start it grants nothing during its initial wait instead.
 *
 * <p>A control process creates one voter per failure domain when it becomes leader, with an initial
 * wait of the lease duration plus the time within which a deposed leader steps down, and discards
 * it when it loses leadership. Not thread-safe; used on the event loop.
 */
public final class LeaseVoter {
    private final String mId;
    private final long mInitialWaitUntilNanos;
    private String mPromisedTo = "";
    private long mPromisedUntilNanos = Long.MIN_VALUE;
    private long mHighestEpoch;

    /** End of the promise made by the last renewal; a withdrawn vote does not shorten it. */
    private long mRenewalPromisedUntilNanos = Long.MIN_VALUE;

    /**
     * Creates a voter that starts now.
     *
     * @param id id of the voter in replies: a router incarnation or {@link DomainVoters#WITNESS}
     * @param initialWaitNanos time during which promises made before the start may still be valid
     */
    public LeaseVoter(String id, long nowNanos, long initialWaitNanos) {
        mId = id;
        mInitialWaitUntilNanos = nowNanos + initialWaitNanos;
    }

    /** Handles a vote request received at {@code nowNanos}. */
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
        // The coordinator that holds the promise gave it up and named the candidate.
        boolean handedOver =
                nowNanos >= mInitialWaitUntilNanos
                        && !mPromisedTo.isEmpty()
                        && request.getHandedOverBy().equals(mPromisedTo)
                        && request.getEpoch() > mHighestEpoch;
        if (!(handedOver || mayPromiseTo(request.getCandidate(), nowNanos))
                || request.getEpoch() < mHighestEpoch
                || (request.getEpoch() == mHighestEpoch && !same)) {
            return false;
        }
        // Leases of members under a coordinator that handed over stay valid.
        if (!same && !handedOver) {
            mRenewalPromisedUntilNanos = Long.MIN_VALUE;
        }
        promise(request.getCandidate(), request.getEpoch(), nowNanos);
        return true;
    }

    /** Handles a renewal received at {@code nowNanos}. */
    public ViewAck onRenewal(ViewRenewal renewal, long nowNanos) {
        boolean accepted =
                mayPromiseTo(renewal.getCoordinator(), nowNanos)
                        && renewal.getEpoch() >= mHighestEpoch;
        if (accepted) {
            promise(renewal.getCoordinator(), renewal.getEpoch(), nowNanos);
            mRenewalPromisedUntilNanos = mPromisedUntilNanos;
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

    /** Returns whether the voter may make a promise to {@code candidate} now. */
    boolean mayPromiseTo(String candidate, long nowNanos) {
        return nowNanos >= mInitialWaitUntilNanos
                && (candidate.equals(mPromisedTo) || nowNanos >= mPromisedUntilNanos);
    }

    /**
     * Releases a promise that its candidate no longer uses. A promise made by a renewal stays,
     * since leases of members depend on it.
     */
    void release(String candidate, long epoch) {
        if (candidate.equals(mPromisedTo) && epoch == mHighestEpoch) {
            mPromisedUntilNanos = mRenewalPromisedUntilNanos;
        }
    }

    long highestEpoch() {
        return mHighestEpoch;
    }

    private void promise(String candidate, long epoch, long nowNanos) {
        mPromisedTo = candidate;
        mPromisedUntilNanos = nowNanos + LeaseDurations.LEASE_NANOS;
        mHighestEpoch = epoch;
    }
}
