package org.jacinthwharf.version;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits loads from the weight store with a token bucket and a limit on concurrent loads.
 *
 * <p>Invariant: an admitted load counts until its end is reported. Part of the replicated control
 * state and driven only by its commands, so it is identical on every member. Not thread-safe.
 */
public final class WeightStoreBucket {
    private final double mLoadsPerSecond;
    private final int mBurst;
    private final int mMaxConcurrent;
    private final Set<FencingToken> mRunning = new LinkedHashSet<>();
    private double mTokens;
    private long mRefilledMillis;

    /**
     * Creates a full bucket.
     *
     * @param loadsPerSecond rate at which loads may start
     * @param burst loads that may start back to back after an idle period
     * @param maxConcurrent loads that may run concurrently
     * @throws IllegalArgumentException if a value is not positive
     */
    public WeightStoreBucket(double loadsPerSecond, int burst, int maxConcurrent, long nowMillis) {
        checkArgument(loadsPerSecond > 0, "loads per second not positive: %s", loadsPerSecond);
        checkArgument(burst > 0, "burst not positive: %s", burst);
        checkArgument(maxConcurrent > 0, "concurrent loads not positive: %s", maxConcurrent);
        mLoadsPerSecond = loadsPerSecond;
        mBurst = burst;
        mMaxConcurrent = maxConcurrent;
        mTokens = burst;
        mRefilledMillis = nowMillis;
    }

    /** Returns whether the load of {@code order} may start; true for a retry of a running load. */
    public boolean tryStart(FencingToken order, long nowMillis) {
        if (mRunning.contains(order)) {
            return true;
        }
        // The wall clock of a new leader may be behind; the bucket is then not refilled.
        long elapsed = Math.max(0, nowMillis - mRefilledMillis);
        mTokens = Math.min(mBurst, mTokens + elapsed * mLoadsPerSecond / 1000);
        mRefilledMillis = Math.max(mRefilledMillis, nowMillis);
        if (mTokens < 1 || mRunning.size() >= mMaxConcurrent) {
            return false;
        }
        mTokens--;
        mRunning.add(order);
        return true;
    }

    /** Records that a load ended, successfully or not. */
    public void end(FencingToken order) {
        mRunning.remove(order);
    }
}
