package org.jacinthwharf.request.dispatch;

/**
 * Predicts the time to first token at the engines of one service from their pending prefill tokens.
 *
 * <p>A linear model, fitted by least squares with exponential decay of older samples, so that it
 * follows engines that slow down under load. Not thread-safe. Invariant: the slope stays within
 * bounds that hold for engines of all known sizes.
 */
final class PrefillModel {
    private static final double DECAY = 0.99;
    private static final double MIN_SAMPLES = 12;

    /** Milliseconds per token until there are enough samples: 20 tokens per millisecond. */
    private static final double INITIAL_MILLIS_PER_TOKEN = 0.05;

    private static final double MIN_MILLIS_PER_TOKEN = 0.002;
    private static final double MAX_MILLIS_PER_TOKEN = 0.2;
    private static final double INITIAL_BASE_MILLIS = 60;
    private static final double MAX_BASE_MILLIS = 150;

    private double mWeight;
    private double mSumX;
    private double mSumY;
    private double mSumXx;
    private double mSumXy;

    /**
     * Records the time to first token of one request.
     *
     * @param tokens pending prefill tokens at the engine, including those of the request
     */
    void addSample(double tokens, double millis) {
        mWeight = DECAY * mWeight + 1;
        mSumX = DECAY * mSumX + tokens;
        mSumY = DECAY * mSumY + millis;
        mSumXx = DECAY * mSumXx + tokens * tokens;
        mSumXy = DECAY * mSumXy + tokens * millis;
    }

    /** Returns the milliseconds that an engine needs to prefill one token. */
    double millisPerToken() {
        double scaledVariance = mWeight * mSumXx - mSumX * mSumX;
        if (mWeight < MIN_SAMPLES || scaledVariance <= 0) {
            return INITIAL_MILLIS_PER_TOKEN;
        }
        double millisPerToken = (mWeight * mSumXy - mSumX * mSumY) / scaledVariance;
        return Math.min(MAX_MILLIS_PER_TOKEN, Math.max(MIN_MILLIS_PER_TOKEN, millisPerToken));
    }

    /** Returns the predicted time to first token if {@code tokens} must be prefilled before. */
    double predictMillis(double tokens) {
        return baseMillis() + millisPerToken() * tokens;
    }

    private double baseMillis() {
        if (mWeight < MIN_SAMPLES) {
            return INITIAL_BASE_MILLIS;
        }
        double baseMillis = (mSumY - millisPerToken() * mSumX) / mWeight;
        return Math.min(MAX_BASE_MILLIS, Math.max(0, baseMillis));
    }
}
