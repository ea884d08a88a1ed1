package org.jacinthwharf.request.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.OptionalLong;
import org.jacinthwharf.wire.generated.RunningReport;

/**
 * What an owner knows of the messages between it and one router incarnation, to notice lost grants
 * and returns.
 *
 * <p>Grants and returns are numbered. A grant counts as lost when a message that the router sent
 * after the round trip does not state it as seen; a return, when a later one has arrived. The owner
 * then asks for a report, and asks again until the numbers agree. Without loss this costs a few
 * bytes per message and no message. Not thread-safe. Memory is linear in the unconfirmed grants.
 */
final class RouterContact {
    /** A message that is this late is lost; it allows for reordering over a new connection. */
    private static final long REORDER_WAIT = Duration.ofMillis(20).toNanos();

    /** Stands for the round trip before the first one; the longest one between regions. */
    private static final long FIRST_ROUND_TRIP = Duration.ofMillis(300).toNanos();

    private record Unconfirmed(long number, long sentNanos) {}

    private final long mIncarnation;
    private final ArrayDeque<Unconfirmed> mGrants = new ArrayDeque<>();
    private final NumberSet mReturns = new NumberSet();
    private boolean mReturnsKnown;
    private long mGrantsSent;
    private long mReturnsSent;
    private long mMissingSinceNanos;
    private long mRoundTripNanos = FIRST_ROUND_TRIP;
    private long mNextAskNanos = Long.MIN_VALUE;
    private long mClosedSequence;
    private long mReport;

    RouterContact(long incarnation) {
        mIncarnation = incarnation;
    }

    long incarnation() {
        return mIncarnation;
    }

    /** Returns the number of a grant that is sent now. */
    long nextGrant(long nowNanos) {
        mGrants.addLast(new Unconfirmed(++mGrantsSent, nowNanos));
        return mGrantsSent;
    }

    /** Notes the numbers in a demand. */
    void onDemand(long grantsSeen, long returnsSent, long nowNanos) {
        confirmGrants(grantsSeen, nowNanos);
        noteReturnsSent(returnsSent, returnsSent, nowNanos);
    }

    /** Notes the numbers in a return. */
    void onReturn(long number, long grantsSeen, long nowNanos) {
        confirmGrants(grantsSeen, nowNanos);
        long before = mReturns.complete();
        noteReturnsSent(number, number - 1, nowNanos);
        mReturns.add(number);
        if (mReturns.complete() > before) {
            mMissingSinceNanos = nowNanos;
        }
    }

    private void confirmGrants(long seen, long nowNanos) {
        // A greater number is from before a restart of this owner.
        while (seen <= mGrantsSent && !mGrants.isEmpty() && mGrants.getFirst().number() <= seen) {
            long roundTrip = nowNanos - mGrants.removeFirst().sentNanos();
            mRoundTripNanos = Math.min(mRoundTripNanos, roundTrip);
        }
    }

    private void noteReturnsSent(long sent, long receivedIfFirst, long nowNanos) {
        if (!mReturnsKnown) {
            mReturnsKnown = true;
            mReturns.addAllUpTo(receivedIfFirst);
        }
        if (mReturns.complete() >= mReturnsSent) {
            mMissingSinceNanos = nowNanos;
        }
        mReturnsSent = Math.max(mReturnsSent, sent);
    }

    /** Handles the numbers in a report; returns false if it is older than the last one. */
    boolean onReport(RunningReport report, long nowNanos) {
        if (report.getNumber() < mReport || report.getClosedDemandSequence() < mClosedSequence) {
            return false;
        }
        mReport = report.getNumber();
        mClosedSequence = report.getClosedDemandSequence();
        mReturnsKnown = true;
        mReturns.addAllUpTo(report.getReturnsSent());
        mReturnsSent = Math.max(mReturnsSent, report.getReturnsSent());
        mMissingSinceNanos = nowNanos;
        return true;
    }

    /** Notes that the router uses no grant up to the given number that arrives later. */
    void onClosed(long grantNumber, long nowNanos) {
        confirmGrants(grantNumber, nowNanos);
    }

    /**
     * Returns whether to ask for a report now, with the number up to which grants count as lost.
     *
     * @param message whether a message of the router has just arrived, which states what it has
     *     seen
     */
    OptionalLong askNow(boolean message, long nowNanos) {
        if (nowNanos < mNextAskNanos) {
            return OptionalLong.empty();
        }
        long lost = 0;
        for (Unconfirmed grant : mGrants) {
            if (!message || nowNanos - grant.sentNanos() < 2 * mRoundTripNanos + REORDER_WAIT) {
                break;
            }
            lost = grant.number();
        }
        boolean missing =
                mReturns.complete() < mReturnsSent && nowNanos - mMissingSinceNanos >= REORDER_WAIT;
        if (lost == 0 && !missing) {
            return OptionalLong.empty();
        }
        mNextAskNanos = nowNanos + mRoundTripNanos + REORDER_WAIT;
        return OptionalLong.of(lost);
    }
}
