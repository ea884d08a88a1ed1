package org.jacinthwharf.process.duty;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.consensus.RaftStatus;
import org.jacinthwharf.wire.generated.DutyGrant;

/**
 * Decides whether this process may make the calls of one duty.
 *
 * <p>Not thread-safe; has no clock of its own. Invariants: a call is allowed only under the last
 * grant, in the term that the grant names, shortly after a majority confirmed the leadership; the
 * first call under a grant that does not extend one of this process waits for longer than the
 * lease, so that no other holder has acted between two of this VM within the lease.
 */
final class DutyHolder {
    /**
     * Time after the begin of a confirmation within which a call may be written. Shorter than the
     * 300 ms in which a holder that was paused must notice, and than any election.
     */
    static final long CONFIRM_VALID_MILLIS = 250;

    /** Waiting times per lease; the excess over 1 covers a call just before a leader is lost. */
    private static final double WAIT_PER_LEASE = 4.0 / 3;

    private final VmId mSelf;
    private final long mWaitNanos;

    /** The last token that was granted to this process while it ran; 0 for none. */
    private long mOwnToken;

    private long mEarliestCallNanos;
    private long mRetiredToken;
    private long mConfirmedTerm = -1;
    private ClockReading mConfirmed = new ClockReading(0, 0);

    /** What to do about a duty next. */
    enum Step {
        /** Another process leads the group. */
        NONE,
        /** Propose a grant to this process. */
        REQUEST_GRANT,
        /** The wait after a grant is not over. */
        WAIT,
        /** Calls are allowed after a confirmation of leadership. */
        CONFIRM
    }

    DutyHolder(VmId self, long leaseMillis) {
        mSelf = self;
        mWaitNanos = (long) (WAIT_PER_LEASE * TimeUnit.MILLISECONDS.toNanos(leaseMillis));
    }

    /** Returns the next step; called whenever the status or the grant may have changed. */
    Step next(RaftStatus status, Optional<DutyGrant> grant, long nowNanos) {
        if (status.role() != RaftStatus.Role.LEADER) {
            return Step.NONE;
        }
        if (!isOwn(status, grant)) {
            return Step.REQUEST_GRANT;
        }
        long token = grant.get().getToken();
        if (token != mOwnToken) {
            onGranted(token, nowNanos);
        }
        return nowNanos < mEarliestCallNanos ? Step.WAIT : Step.CONFIRM;
    }

    private boolean isOwn(RaftStatus status, Optional<DutyGrant> grant) {
        return grant.filter(
                        g ->
                                g.getVmId().equals(mSelf.value())
                                        && g.getTerm() == status.term()
                                        && g.getToken() > mRetiredToken)
                .isPresent();
    }

    private void onGranted(long token, long nowNanos) {
        boolean first = token == 1;
        // Nobody else was granted the duty in between, so the earlier wait holds.
        boolean extended = mOwnToken > 0 && token == mOwnToken + 1;
        if (!first && !extended) {
            mEarliestCallNanos = nowNanos + mWaitNanos;
        }
        mOwnToken = token;
    }

    /** Records that a confirmation of leadership, begun at the given moment, succeeded. */
    void onConfirmed(long term, ClockReading began) {
        mConfirmedTerm = term;
        mConfirmed = began;
    }

    /** Returns whether a call under a token may be written now. */
    boolean maySend(long token, RaftStatus status, Optional<DutyGrant> grant, ClockReading now) {
        return next(status, grant, now.nanos()) == Step.CONFIRM
                && token == mOwnToken
                && mConfirmedTerm == status.term()
                && now.isWithin(CONFIRM_VALID_MILLIS, mConfirmed);
    }

    /** Ends the use of a token, since a higher one was seen outside. */
    void retire(long token) {
        mRetiredToken = Math.max(mRetiredToken, token);
        mOwnToken = 0; // Another holder has acted, so the next grant starts with a wait.
    }
}
