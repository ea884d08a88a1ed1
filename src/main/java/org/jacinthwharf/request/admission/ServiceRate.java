package org.jacinthwharf.request.admission;

/**
 * Measures how fast a pool serves this router, from the starts of requests that had to wait.
 *
 * <p>Invariant: without enough starts the rate is unknown and no wait is implied. Not thread-safe.
 */
final class ServiceRate {
    private static final double SAMPLE_WEIGHT = 1.0 / 8;
    private static final int MIN_STARTS = 8;

    private double mMeanIntervalNanos;
    private double mMeanCost;
    private int mStarts;
    private long mMarkNanos;

    /** Notes that a request waits where none waited before. */
    void onFirstWaiting(long nowNanos) {
        mMarkNanos = nowNanos;
    }

    /** Notes the start of a request of the given estimate. */
    void onStart(double cost, long nowNanos) {
        double weight = mStarts == 0 ? 1 : SAMPLE_WEIGHT;
        mMeanIntervalNanos += (nowNanos - mMarkNanos - mMeanIntervalNanos) * weight;
        mMeanCost += (cost - mMeanCost) * weight;
        mMarkNanos = nowNanos;
        mStarts = Math.min(MIN_STARTS, mStarts + 1);
    }

    /** Returns the time in nanoseconds to serve {@code cost} at {@code share} of the rate. */
    double waitNanos(double cost, double share, long nowNanos) {
        if (mStarts < MIN_STARTS || mMeanCost <= 0) {
            return 0;
        }
        double interval = Math.max(mMeanIntervalNanos, nowNanos - mMarkNanos);
        return cost / mMeanCost * interval / share;
    }
}
