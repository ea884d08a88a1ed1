package org.jacinthwharf.process.gateway;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Decides which new streams a gateway refuses because its processor is busy, so that their callers
 * reach another gateway while there is time.
 *
 * <p>A load balancer that assigns callers by hash can send one gateway several times what it can
 * forward while its neighbours idle. All answers of that gateway are late then, and callers leave
 * before their requests are read. The part that is refused rises while the event loop is late and
 * falls while it is not.
 *
 * <p>Used on the event loop only. Invariants: a single pause, as of a garbage collection or a
 * stopped VM, refuses nothing; some streams are always accepted.
 */
final class LoadShedder {
    /** A timer that runs later than this delays streams noticeably. */
    private static final long LATE_NANOS = Duration.ofMillis(60).toNanos();

    /** Increase at {@link #LATE_NANOS}; a later timer adds more, since it runs less often. */
    private static final double INCREASE = 0.05;

    private static final double MAX_INCREASE = 0.3;
    private static final double DECREASE = 0.01;
    private static final double MAX_REFUSED = 0.8;

    private final RandomGenerator mRandom;
    private double mRefused;
    private boolean mWasLate;

    LoadShedder(RandomGenerator random) {
        mRandom = random;
    }

    /** Records how late a periodic task ran; called by a task that runs many times a second. */
    void onLoopDelay(long nanos) {
        boolean late = nanos > LATE_NANOS;
        if (late && mWasLate) {
            double increase = Math.min(MAX_INCREASE, INCREASE * nanos / LATE_NANOS);
            mRefused = Math.min(MAX_REFUSED, mRefused + increase);
        } else if (!late) {
            mRefused = Math.max(0, mRefused - DECREASE);
        }
        mWasLate = late;
    }

    /** Returns whether to accept a new stream. */
    boolean accepts() {
        return mRefused == 0 || mRandom.nextDouble() >= mRefused;
    }
}
