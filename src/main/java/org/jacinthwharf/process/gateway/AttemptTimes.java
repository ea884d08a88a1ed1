package org.jacinthwharf.process.gateway;

/**
 * How long one attempt has waited for its server.
 *
 * <p>Not thread-safe. Time in which the event loop was held up counts as no wait, since the answer
 * may have arrived meanwhile.
 */
final class AttemptTimes {
    private final long mSentNanos;
    private long mHeardNanos;
    private long mLoopDelayNanos;
    private long mAnsweredNanos;
    private boolean mAnswered;
    private long mLongestWaitNanos;

    /**
     * Creates the times of an attempt that is sent now.
     *
     * @param loopDelayNanos total time in which the event loop was held up
     */
    AttemptTimes(long nowNanos, long loopDelayNanos) {
        mSentNanos = nowNanos;
        mHeardNanos = nowNanos;
        mLoopDelayNanos = loopDelayNanos;
    }

    long sentNanos() {
        return mSentNanos;
    }

    /** Returns when the server last sent something, or the attempt was sent. */
    long heardNanos() {
        return mHeardNanos;
    }

    /** Records that the server has sent something. */
    void onHeard(long nowNanos, long loopDelayNanos) {
        mLongestWaitNanos = longestWaitNanos(nowNanos, loopDelayNanos);
        mHeardNanos = nowNanos;
        mLoopDelayNanos = loopDelayNanos;
    }

    /** Records what counts as the answer: the head, or the first event of a stream. */
    void onAnswer(long nowNanos) {
        if (!mAnswered) {
            mAnswered = true;
            mAnsweredNanos = nowNanos;
        }
    }

    /** Returns the latency of the answer, or of an attempt that fails now without one. */
    long latencyNanos(long nowNanos) {
        return (mAnswered ? mAnsweredNanos : nowNanos) - mSentNanos;
    }

    boolean isAnswered() {
        return mAnswered;
    }

    /** Returns the longest time in which the server has sent nothing, up to now. */
    long longestWaitNanos(long nowNanos, long loopDelayNanos) {
        long wait = nowNanos - mHeardNanos - (loopDelayNanos - mLoopDelayNanos);
        return Math.max(mLongestWaitNanos, wait);
    }
}
