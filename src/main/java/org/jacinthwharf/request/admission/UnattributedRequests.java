package org.jacinthwharf.request.admission;

/**
 * Counts the requests that run at a server and are not attributed to any router.
 *
 * <p>The count for a cold server is lowered only to the number of running requests that the server
 * announces, so it includes every request that still runs. The count for a warm server also
 * subtracts the attributed requests; it is more accurate but may miss a request whose return is in
 * flight. Invariant: the warm count never exceeds the cold count. Not thread-safe.
 */
final class UnattributedRequests {
    private int mColdCount;
    private int mWarmCount;
    // Announcements received earlier may not include requests that started late, so they do not
    // lower the counts.
    private long mLowerNotBeforeNanos = Long.MIN_VALUE;
    private long mExpiresNanos = Long.MIN_VALUE;

    /**
     * Sets both counts after a takeover, from an announcement; they are 0 from {@code expiresNanos}
     * on.
     */
    void reset(int count, long expiresNanos) {
        mColdCount = count;
        mWarmCount = count;
        mExpiresNanos = expiresNanos;
    }

    /** Adds the slots of a router that was lost at {@code nowNanos}. */
    void addLost(int count, long nowNanos) {
        if (count > 0) {
            mColdCount = coldCount(nowNanos) + count;
            mWarmCount = warmCount(nowNanos) + count;
            long notBeforeNanos =
                    nowNanos
                            + AdmissionDurations.GRANT_VALIDITY
                            + AdmissionDurations.MAX_ANNOUNCEMENT_AGE;
            mLowerNotBeforeNanos = Math.max(mLowerNotBeforeNanos, notBeforeNanos);
            mExpiresNanos =
                    Math.max(
                            mExpiresNanos,
                            notBeforeNanos + AdmissionDurations.MAX_REQUEST_DURATION);
        }
    }

    /** Subtracts requests that a router reported. */
    void attribute(int count) {
        mColdCount = Math.max(0, mColdCount - count);
        mWarmCount = Math.max(0, mWarmCount - count);
    }

    /**
     * Lowers the counts to the number of running requests that the server announces.
     *
     * @param attributed number of requests that were attributed early enough for announcements to
     *     include them
     */
    void onAnnounced(int announced, int attributed, long nowNanos) {
        if (nowNanos >= mLowerNotBeforeNanos) {
            mColdCount = Math.min(mColdCount, announced);
            mWarmCount = Math.min(mWarmCount, Math.max(0, announced - attributed));
        }
    }

    void clear() {
        mColdCount = 0;
        mWarmCount = 0;
    }

    int coldCount(long nowNanos) {
        return nowNanos < mExpiresNanos ? mColdCount : 0;
    }

    int warmCount(long nowNanos) {
        return nowNanos < mExpiresNanos ? mWarmCount : 0;
    }
}
