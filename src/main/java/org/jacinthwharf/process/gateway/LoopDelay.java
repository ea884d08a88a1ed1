package org.jacinthwharf.process.gateway;

import java.time.Duration;

/**
 * How long the event loop was held up, measured by how late a periodic task runs.
 *
 * <p>Not thread-safe. Invariant: the total never decreases.
 */
final class LoopDelay {
    private final long mPeriodNanos;
    private long mLastTickNanos;
    private long mTotalNanos;

    LoopDelay(Duration period, long nowNanos) {
        mPeriodNanos = period.toNanos();
        mLastTickNanos = nowNanos;
    }

    /** Records a run of the periodic task; returns how late it is. */
    long onTick(long nowNanos) {
        long delay = currentNanos(nowNanos);
        mTotalNanos += delay;
        mLastTickNanos = nowNanos;
        return delay;
    }

    /** Returns the sum of all delays, including that of the task that is due now. */
    long totalNanos(long nowNanos) {
        return mTotalNanos + currentNanos(nowNanos);
    }

    private long currentNanos(long nowNanos) {
        return Math.max(0, nowNanos - mLastTickNanos - mPeriodNanos);
    }
}
