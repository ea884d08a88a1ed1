package org.jacinthwharf.request.admission;

/**
 * Counts requests that run at a server although no router is known to run them.
 *
 * <p>Two counts are kept. The one for a cold server falls only to the number that the server
 * announces, which never drops a request that still runs. The one for a warm server also takes off
 * the attributed requests, which is closer but may be short by a request whose return is on its
 * way. Invariant: the count for a warm server never exceeds the one for a cold server. Not
 * thread-safe.
 */
final class Unattributed {
    private int mCold;
    private int mWarm;
    // Announcements received earlier may lack requests that started late, and lower nothing.
    private long mLowerFromNanos = Long.MIN_VALUE;
    private long mZeroAtNanos = Long.MIN_VALUE;

    /** Sets the count after a takeover, from an announcement. */
    void set(int count, long zeroAtNanos) {
        mCold = count;
        mWarm = count;
        mZeroAtNanos = zeroAtNanos;
    }

    /** Adds the slots of a router that was lost now. */
    void addLost(int count, long nowNanos) {
        if (count > 0) {
            mCold = cold(nowNanos) + count;
            mWarm = warm(nowNanos) + count;
            long settled =
                    nowNanos + AdmissionTimes.GRANT_USE_LIMIT + AdmissionTimes.ANNOUNCEMENT_LAG;
            mLowerFromNanos = Math.max(mLowerFromNanos, settled);
            mZeroAtNanos = Math.max(mZeroAtNanos, settled + AdmissionTimes.LONGEST_REQUEST);
        }
    }

    /** Takes off requests that a router reported. */
    void attribute(int count) {
        mCold = Math.max(0, mCold - count);
        mWarm = Math.max(0, mWarm - count);
    }

    /**
     * Lowers the counts to what the server announces.
     *
     * @param attributed requests attributed for longer than the lag of announcements
     */
    void onAnnounced(int announced, int attributed, long nowNanos) {
        if (nowNanos >= mLowerFromNanos) {
            mCold = Math.min(mCold, announced);
            mWarm = Math.min(mWarm, Math.max(0, announced - attributed));
        }
    }

    void clear() {
        mCold = 0;
        mWarm = 0;
    }

    int cold(long nowNanos) {
        return nowNanos < mZeroAtNanos ? mCold : 0;
    }

    int warm(long nowNanos) {
        return nowNanos < mZeroAtNanos ? mWarm : 0;
    }
}
