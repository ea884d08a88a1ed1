package org.jacinthwharf.request.dispatch;

/**
 * Predicts how long the engines of one service take to the first event of a request, from the
 * prompt tokens that wait to be read there.
 *
 * <p>A straight line, fitted to the latest first events by least squares with exponential decay, so
 * that it follows engines that turn slower with load. Not thread-safe. Invariant: the slope stays
 * within bounds that engines of all known sizes keep.
 */
final class ReadingModel {
    private static final double DECAY = 0.99;
    private static final double MIN_SAMPLES = 12;

    /** Milliseconds for each token; 20 tokens a millisecond until first events are known. */
    private static final double FIRST_SLOPE = 0.05;

    private static final double LEAST_SLOPE = 0.002;
    private static final double LARGEST_SLOPE = 0.2;
    private static final double FIRST_BASE_MILLIS = 60;
    private static final double LARGEST_BASE_MILLIS = 150;

    private double mWeight;
    private double mX;
    private double mY;
    private double mXx;
    private double mXy;

    /**
     * Takes the time to one first event.
     *
     * @param tokens tokens that waited to be read at the engine, those of the request included
     */
    void onFirstEvent(double tokens, double millis) {
        mWeight = DECAY * mWeight + 1;
        mX = DECAY * mX + tokens;
        mY = DECAY * mY + millis;
        mXx = DECAY * mXx + tokens * tokens;
        mXy = DECAY * mXy + tokens * millis;
    }

    /** Returns the milliseconds that an engine needs for each token. */
    double slope() {
        double spread = mWeight * mXx - mX * mX;
        if (mWeight < MIN_SAMPLES || spread <= 0) {
            return FIRST_SLOPE;
        }
        double slope = (mWeight * mXy - mX * mY) / spread;
        return Math.min(LARGEST_SLOPE, Math.max(LEAST_SLOPE, slope));
    }

    /** Returns the milliseconds to a first event if {@code tokens} have to be read before it. */
    double millis(double tokens) {
        return base() + slope() * tokens;
    }

    private double base() {
        if (mWeight < MIN_SAMPLES) {
            return FIRST_BASE_MILLIS;
        }
        double base = (mY - slope() * mX) / mWeight;
        return Math.min(LARGEST_BASE_MILLIS, Math.max(0, base));
    }
}
