package org.jacinthwharf.process.duty;

import java.util.concurrent.TimeUnit;
import org.jacinthwharf.process.loop.EventLoop;

/**
 * A moment by both clocks of a process.
 *
 * <p>Immutable. The monotonic clock does not count the time in which a VM is suspended, and the
 * wall clock may be set; only together they tell how much time has passed at most.
 *
 * @param nanos monotonic time
 * @param wallMillis wall-clock time since the epoch
 */
record ClockReading(long nanos, long wallMillis) {
    static ClockReading of(EventLoop loop) {
        return new ClockReading(loop.nowNanos(), loop.nowMillis());
    }

    /** Returns whether at most this time has passed since an earlier reading, by both clocks. */
    boolean isWithin(long millis, ClockReading earlier) {
        long wallElapsed = wallMillis - earlier.wallMillis;
        return nanos - earlier.nanos <= TimeUnit.MILLISECONDS.toNanos(millis)
                && wallElapsed >= 0
                && wallElapsed <= millis;
    }
}
