package org.jacinthwharf.version;

import java.util.Arrays;

/**
 * Sequential probability ratio test of the rate of bad requests, over all samples and over the last
 * 60 samples.
 *
 * <p>Each sample is tested against the rate expected in its own second, so a fault that affects
 * both versions while their shares differ does not count against either. Not thread-safe.
 */
final class SequentialTest {
    /** Probability of accepting a bad version. */
    private static final double FALSE_NEGATIVE_RATE = 0.01;

    /** Samples are one second apart. */
    private static final int WINDOW_SAMPLES = 60;

    private final double[] mRecentRatios = new double[WINDOW_SAMPLES];
    private int mNext;
    private double mTotalRatio;

    /**
     * Adds a sample.
     *
     * @param goodRate expected rate of bad requests of a good version
     * @param badRate lowest rate of bad requests of a bad version
     */
    void add(long requests, long bad, double goodRate, double badRate) {
        double logLikelihoodRatio =
                bad * Math.log(badRate / goodRate)
                        + (requests - bad) * Math.log((1 - badRate) / (1 - goodRate));
        mTotalRatio += logLikelihoodRatio;
        mRecentRatios[mNext] = logLikelihoodRatio;
        mNext = (mNext + 1) % WINDOW_SAMPLES;
    }

    /**
     * Returns whether there is enough evidence that the version is bad.
     *
     * @param falsePositiveRate probability of rejecting a good version over the whole move
     * @param windows number of windows that start during the move; the false positive rate is
     *     divided among them, since each start is one more test
     */
    boolean isBad(double falsePositiveRate, long windows) {
        double limit = Math.log((1 - FALSE_NEGATIVE_RATE) / falsePositiveRate);
        return mTotalRatio >= limit || maxSuffixSum() >= limit + Math.log(Math.max(1, windows));
    }

    /** Returns whether there is enough evidence that the version is good. */
    boolean isGood(double falsePositiveRate) {
        double limit = Math.log(FALSE_NEGATIVE_RATE / (1 - falsePositiveRate));
        return Math.min(mTotalRatio, Arrays.stream(mRecentRatios).sum()) <= limit;
    }

    private double maxSuffixSum() {
        double sum = 0;
        double largest = 0;
        for (int i = 1; i <= WINDOW_SAMPLES; i++) {
            sum += mRecentRatios[Math.floorMod(mNext - i, WINDOW_SAMPLES)];
            largest = Math.max(largest, sum);
        }
        return largest;
    }
}
