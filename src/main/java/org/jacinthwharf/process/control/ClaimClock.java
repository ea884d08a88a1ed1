package org.jacinthwharf.process.control;

import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.ControlSnapshot;

/**
 * The time by which claims of request keys expire.
 *
 * <p>Invariant: it never goes backwards. During one leadership it follows the leader's monotonic
 * clock; a new leader moves it towards its wall clock by at most {@link #MAX_JUMP_MILLIS}. A leader
 * whose wall clock is hours ahead would otherwise drop claims early, and their calls could run a
 * second time. After a longer outage the time stays behind, which is harmless, since claims use
 * differences only. Deterministic; not thread-safe.
 */
final class ClaimClock {
    static final long MAX_JUMP_MILLIS = 60_000;

    private long mMillis;
    private long mTerm;
    private long mUptimeMillis;

    /** Moves on to a command and returns the time that holds for it. */
    long advance(Command command) {
        if (mMillis == 0) {
            mMillis = Math.max(0, command.getNowMillis());
        } else if (command.getLeaderTerm() == mTerm) {
            mMillis += Math.max(0, command.getLeaderUptimeMillis() - mUptimeMillis);
        } else {
            mMillis += Math.max(0, Math.min(command.getNowMillis() - mMillis, MAX_JUMP_MILLIS));
        }
        if (command.getLeaderTerm() != mTerm || command.getLeaderUptimeMillis() > mUptimeMillis) {
            mTerm = command.getLeaderTerm();
            mUptimeMillis = command.getLeaderUptimeMillis();
        }
        return mMillis;
    }

    void addTo(ControlSnapshot.Builder snapshot) {
        snapshot.setClaimMillis(mMillis).setLeaderTerm(mTerm).setLeaderUptimeMillis(mUptimeMillis);
    }

    void restore(ControlSnapshot snapshot) {
        mMillis = snapshot.getClaimMillis();
        mTerm = snapshot.getLeaderTerm();
        mUptimeMillis = snapshot.getLeaderUptimeMillis();
    }
}
