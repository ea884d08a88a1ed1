package org.jacinthwharf.request.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.OptionalLong;
import org.jacinthwharf.wire.generated.RunningReport;

/**
 * Tracks the sequence numbers of the messages between an owner and one router incarnation, to
 * detect lost grants and returns.
 *
 * <p>A grant counts as lost if a message that the router sent after the round-trip time does not
 * acknowledge it; a return, if a later one has been received. The owner then requests a report,
 * repeatedly until the numbers agree. Without loss this costs a few bytes per message and no
 * additional messages. Not thread-safe. Memory is linear in the unacknowledged grants.
 */
final class RouterMessageTracker {
    /**
     * Delay after which a missing message counts as lost; allows for reordering when a connection
     * is replaced.
     */
    private static final long REORDER_TOLERANCE = Duration.ofMillis(20).toNanos();

    /** Round-trip time assumed before the first measurement: the maximum between regions. */
    private static final long INITIAL_ROUND_TRIP = Duration.ofMillis(300).toNanos();

    private record UnacknowledgedGrant(long number, long sentNanos) {}

    private final long mIncarnation;
    private final ArrayDeque<UnacknowledgedGrant> mUnacknowledgedGrants = new ArrayDeque<>();
    private final SequenceTracker mReturns = new SequenceTracker();
    private boolean mReturnsInitialized;
    private long mGrantsSent;
    private long mReturnsSent;
    private long mMissingSinceNanos;
    private long mRoundTripNanos = INITIAL_ROUND_TRIP;
    private long mNextReportRequestNanos = Long.MIN_VALUE;
    private long mLastClosedSequence;
    private long mLastReportNumber;

    RouterMessageTracker(long incarnation) {
        mIncarnation = incarnation;
    }

    long incarnation() {
        return mIncarnation;
    }

    /** Returns the sequence number of a grant that is sent now. */
    long nextGrant(long nowNanos) {
        mUnacknowledgedGrants.addLast(new UnacknowledgedGrant(++mGrantsSent, nowNanos));
        return mGrantsSent;
    }

    /** Handles the sequence numbers in a demand. */
    void onDemand(long grantsSeen, long returnsSent, long nowNanos) {
        acknowledgeGrants(grantsSeen, nowNanos);
        updateReturnsSent(returnsSent, returnsSent, nowNanos);
    }

    /** Handles the sequence numbers in a return. */
    void onReturn(long number, long grantsSeen, long nowNanos) {
        acknowledgeGrants(grantsSeen, nowNanos);
        long before = mReturns.contiguousUpTo();
        updateReturnsSent(number, number - 1, nowNanos);
        mReturns.add(number);
        if (mReturns.contiguousUpTo() > before) {
            mMissingSinceNanos = nowNanos;
        }
    }

    private void acknowledgeGrants(long seen, long nowNanos) {
        // A greater number belongs to a grant sent before this owner restarted.
        while (seen <= mGrantsSent
                && !mUnacknowledgedGrants.isEmpty()
                && mUnacknowledgedGrants.getFirst().number() <= seen) {
            long roundTrip = nowNanos - mUnacknowledgedGrants.removeFirst().sentNanos();
            mRoundTripNanos = Math.min(mRoundTripNanos, roundTrip);
        }
    }

    private void updateReturnsSent(long sent, long receivedIfFirst, long nowNanos) {
        if (!mReturnsInitialized) {
            mReturnsInitialized = true;
            mReturns.addAllUpTo(receivedIfFirst);
        }
        if (mReturns.contiguousUpTo() >= mReturnsSent) {
            mMissingSinceNanos = nowNanos;
        }
        mReturnsSent = Math.max(mReturnsSent, sent);
    }

    /** Handles the sequence numbers in a report; returns false if it is older than the last one. */
    boolean onReport(RunningReport report, long nowNanos) {
        if (report.getNumber() < mLastReportNumber
                || report.getClosedDemandSequence() < mLastClosedSequence) {
            return false;
        }
        mLastReportNumber = report.getNumber();
        mLastClosedSequence = report.getClosedDemandSequence();
        mReturnsInitialized = true;
        mReturns.addAllUpTo(report.getReturnsSent());
        mReturnsSent = Math.max(mReturnsSent, report.getReturnsSent());
        mMissingSinceNanos = nowNanos;
        return true;
    }

    /** Records that the router rejects grants up to the given number from now on. */
    void onGrantsClosed(long grantNumber, long nowNanos) {
        acknowledgeGrants(grantNumber, nowNanos);
    }

    /**
     * Returns the number up to which grants count as lost (0 for none), or empty if no report is to
     * be requested now.
     *
     * @param messageReceived whether a message with the router's acknowledgements has just been
     *     received
     */
    OptionalLong nextReportRequest(boolean messageReceived, long nowNanos) {
        if (nowNanos < mNextReportRequestNanos) {
            return OptionalLong.empty();
        }
        long lost = 0;
        for (UnacknowledgedGrant grant : mUnacknowledgedGrants) {
            if (!messageReceived
                    || nowNanos - grant.sentNanos() < 2 * mRoundTripNanos + REORDER_TOLERANCE) {
                break;
            }
            lost = grant.number();
        }
        boolean returnsMissing =
                mReturns.contiguousUpTo() < mReturnsSent
                        && nowNanos - mMissingSinceNanos >= REORDER_TOLERANCE;
        if (lost == 0 && !returnsMissing) {
            return OptionalLong.empty();
        }
        mNextReportRequestNanos = nowNanos + mRoundTripNanos + REORDER_TOLERANCE;
        return OptionalLong.of(lost);
    }
}
