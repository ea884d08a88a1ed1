package org.jacinthwharf.version;

import java.util.Arrays;

/**
 * Sequential probability ratio test of a rate of bad requests, over all time and over the last 60
 * samples.
 *
 * <p>Each sample is tested against the rate that holds for its own second, so a fault that hits
 * both versions at a time of uneven shares does not count against one of them. Not thread-safe.
 */
final class SequentialTest {
    /** Probability of accepting a bad version. */
    private static final double MISS_RATE = 0.01;

    /** Samples are one second apart. */
    private static final int WINDOW = 60;

    private final double[] mRing = new double[WINDOW];
    private int mNext;
    private double mTotal;

    /**
     * Adds a sample.
     *
     * @param goodRate expected rate of bad requests of a good version
     * @param badRate rate from which on a version counts as bad
     */
    void add(long requests, long bad, double goodRate, double badRate) {
        double ratio =
                bad * Math.log(badRate / goodRate)
                        + (requests - bad) * Math.log((1 - badRate) / (1 - goodRate));
        mTotal += ratio;
        mRing[mNext] = ratio;
        mNext = (mNext + 1) % WINDOW;
    }

    /**
     * Returns whether the version is bad.
     *
     * @param falseAlarmRate probability of a wrong verdict over the whole move
     * @param windows number of windows that start during the move. Each start is one more test, so
     *     its share of the false alarm rate is smaller.
     */
    boolean isBad(double falseAlarmRate, long windows) {
        double limit = Math.log((1 - MISS_RATE) / falseAlarmRate);
        return mTotal >= limit || largestSuffix() >= limit + Math.log(Math.max(1, windows));
    }

    /** Returns whether there is enough evidence that the version is good. */
    boolean isGood(double falseAlarmRate) {
        double limit = Math.log(MISS_RATE / (1 - falseAlarmRate));
        return Math.min(mTotal, Arrays.stream(mRing).sum()) <= limit;
    }

    private double largestSuffix() {
        double sum = 0;
        double largest = 0;
        for (int i = 1; i <= WINDOW; i++) {
            sum += mRing[Math.floorMod(mNext - i, WINDOW)];
            largest = Math.max(largest, sum);
        }
        return largest;
    }
}
