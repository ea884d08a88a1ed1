package org.jacinthwharf.version;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits loads from the weight store: a token bucket in time and a limit on loads at once.
 *
 * <p>Invariant: a load that was admitted counts until it is reported as ended. Part of the control
 * state, driven by its commands, so every member computes the same. Not thread-safe.
 */
public final class WeightStoreBucket {
    private final double mLoadsPerSecond;
    private final int mBurst;
    private final int mMaxAtOnce;
    private final Set<FencingToken> mRunning = new LinkedHashSet<>();
    private double mTokens;
    private long mFilledMillis;

    /**
     * Creates a full bucket.
     *
     * @param loadsPerSecond rate at which loads may start
     * @param burst loads that may start at once after a pause
     * @param maxAtOnce loads that may run at once
     * @throws IllegalArgumentException if a value is not positive
     */
    public WeightStoreBucket(double loadsPerSecond, int burst, int maxAtOnce, long nowMillis) {
        checkArgument(loadsPerSecond > 0, "loads per second not positive: %s", loadsPerSecond);
        checkArgument(burst > 0, "burst not positive: %s", burst);
        checkArgument(maxAtOnce > 0, "loads at once not positive: %s", maxAtOnce);
        mLoadsPerSecond = loadsPerSecond;
        mBurst = burst;
        mMaxAtOnce = maxAtOnce;
        mTokens = burst;
        mFilledMillis = nowMillis;
    }

    /** Returns whether the load of {@code order} may start; a load that runs may be repeated. */
    public boolean tryStart(FencingToken order, long nowMillis) {
        if (mRunning.contains(order)) {
            return true;
        }
        // Wall-clock time of a new leader may be behind; then nothing is filled.
        long passed = Math.max(0, nowMillis - mFilledMillis);
        mTokens = Math.min(mBurst, mTokens + passed * mLoadsPerSecond / 1000);
        mFilledMillis = Math.max(mFilledMillis, nowMillis);
        if (mTokens < 1 || mRunning.size() >= mMaxAtOnce) {
            return false;
        }
        mTokens--;
        mRunning.add(order);
        return true;
    }

    /** Notes that a load ended, whether it worked or not. */
    public void end(FencingToken order) {
        mRunning.remove(order);
    }
}
