package org.jacinthwharf.request.admission;

/**
 * Estimates the rate at which a pool serves this router, from the starts of queued requests.
 *
 * <p>Invariant: the estimated wait is 0 until enough starts were observed. Not thread-safe.
 */
final class ServiceRate {
    private static final double SAMPLE_WEIGHT = 1.0 / 8;
    private static final int MIN_STARTS = 8;

    private double mMeanIntervalNanos;
    private double mMeanCost;
    private int mStarts;
    private long mIntervalStartNanos;

    /** Records that a request was added to an empty queue. */
    void onFirstWaiting(long nowNanos) {
        mIntervalStartNanos = nowNanos;
    }

    /** Records the start of a request of the given estimated cost. */
    void onStart(double cost, long nowNanos) {
        double weight = mStarts == 0 ? 1 : SAMPLE_WEIGHT;
        mMeanIntervalNanos += (nowNanos - mIntervalStartNanos - mMeanIntervalNanos) * weight;
        mMeanCost += (cost - mMeanCost) * weight;
        mIntervalStartNanos = nowNanos;
        mStarts = Math.min(MIN_STARTS, mStarts + 1);
    }

    /**
     * Returns the time in nanoseconds to serve {@code cost} at the fraction {@code share} of the
     * rate.
     */
    double waitNanos(double cost, double share, long nowNanos) {
        if (mStarts < MIN_STARTS || mMeanCost <= 0) {
            return 0;
        }
        double interval = Math.max(mMeanIntervalNanos, nowNanos - mIntervalStartNanos);
        return cost / mMeanCost * interval / share;
    }
}
