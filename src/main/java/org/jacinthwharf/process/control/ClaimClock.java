package org.jacinthwharf.process.control;

import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.ControlSnapshot;

/**
 * The replicated clock that decides when claims of request keys expire.
 *
 * <p>Invariant: it never goes backwards. Within a term it follows the leader's monotonic clock; a
 * new leader moves it towards its wall clock by at most {@link #MAX_JUMP_MILLIS}. Without this
 * limit, a leader whose wall clock is hours ahead would expire claims early, and their requests
 * could be executed twice. After an outage longer than the limit the clock lags behind wall-clock
 * time. This is harmless because only elapsed time matters for expiry. Deterministic; not
 * thread-safe.
 */
final class ClaimClock {
    static final long MAX_JUMP_MILLIS = 60_000;

    private long mMillis;
    private long mTerm;
    private long mUptimeMillis;

    /** Advances the clock to the time of {@code command} and returns the new time. */
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
