package org.jacinthwharf.process.consensus;

import java.util.Optional;
import org.jacinthwharf.wire.generated.RaftLeaveReply;

/**
 * The planned departure of a member whose process is about to end.
 *
 * <p>A voter that has ended still counts for every majority until it is removed. A member that is
 * told of its end therefore hands over leadership and asks the leader to remove it, while it still
 * runs and votes.
 *
 * <p>Not thread-safe. Invariant: once there is an outcome, it does not change.
 */
final class Departure {
    private final long mDeadlineNanos;
    private long mNextRequestNanos;
    private Optional<LeaveOutcome> mOutcome = Optional.empty();

    /** Creates a departure that is given up at {@code deadlineNanos}. */
    Departure(long nowNanos, long deadlineNanos) {
        mDeadlineNanos = deadlineNanos;
        mNextRequestNanos = nowNanos;
    }

    Optional<LeaveOutcome> outcome() {
        return mOutcome;
    }

    /** Returns whether to send a request now, and if so records that it is sent. */
    boolean startRequest(long nowNanos) {
        if (mOutcome.isEmpty() && nowNanos >= mDeadlineNanos) {
            end(LeaveOutcome.TIMED_OUT);
        }
        if (mOutcome.isPresent() || nowNanos < mNextRequestNanos) {
            return false;
        }
        mNextRequestNanos = nowNanos + RaftTimings.LEAVE_INTERVAL_NANOS;
        return true;
    }

    void onReply(RaftLeaveReply reply) {
        switch (reply.getOutcome()) {
            case LEFT -> end(LeaveOutcome.LEFT);
            case STAYS -> end(LeaveOutcome.STAYS);
            default -> {} // Asked again later.
        }
    }

    void end(LeaveOutcome outcome) {
        if (mOutcome.isEmpty()) {
            mOutcome = Optional.of(outcome);
        }
    }
}
