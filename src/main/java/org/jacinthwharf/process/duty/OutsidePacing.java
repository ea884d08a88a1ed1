package org.jacinthwharf.process.duty;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the rate of outside calls of this process, and delays repeats.
 *
 * <p>Not thread-safe; has no clock or randomness of its own.
 */
final class OutsidePacing {
    /** The previous holder may use the other half for a moment after it has lost a duty. */
    private static final double PART_OF_LIMIT = 0.5;

    /** A fraction of the time in which a report is due, so that a short fault costs no report. */
    private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Short enough for several repeats before a report is late. */
    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final long mIntervalNanos;
    private final Map<Duty, Backoff> mBackoffs = new EnumMap<>(Duty.class);
    private long mNextCallNanos = Long.MIN_VALUE;

    private record Backoff(long delayNanos, long untilNanos) {}

    OutsidePacing(double callsPerSecond) {
        mIntervalNanos = (long) (1e9 / (PART_OF_LIMIT * callsPerSecond));
    }

    boolean mayCall(Duty duty, long nowNanos) {
        Backoff backoff = mBackoffs.get(duty);
        return nowNanos >= mNextCallNanos && (backoff == null || nowNanos >= backoff.untilNanos());
    }

    void onCall(long nowNanos) {
        mNextCallNanos = nowNanos + mIntervalNanos;
    }

    /**
     * Records the result of a call.
     *
     * @param jitter from 0 to 1, shortens the delay of the next call by up to a half
     */
    void onAnswer(Duty duty, OutsideAnswer answer, long nowNanos, double jitter) {
        if (answer == OutsideAnswer.DONE || answer == OutsideAnswer.FENCED) {
            mBackoffs.remove(duty);
            return;
        }
        Backoff last = mBackoffs.get(duty);
        long delay =
                last == null
                        ? MIN_BACKOFF_NANOS
                        : Math.min(MAX_BACKOFF_NANOS, 2 * last.delayNanos());
        mBackoffs.put(duty, new Backoff(delay, nowNanos + (long) (delay * (1 - jitter / 2))));
    }
}
