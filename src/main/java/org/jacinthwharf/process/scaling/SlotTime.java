package org.jacinthwharf.process.scaling;

import java.util.OptionalDouble;
import org.jacinthwharf.process.scaling.Demand.DomainDemand;

/**
 * The mean time that a request of one service occupies a slot: running requests by the rate at
 * which requests begin.
 *
 * <p>Not thread-safe. Invariant: the last good value is kept while too few requests begin to tell.
 */
final class SlotTime {
    /** With fewer requests begun, the quotient varies by more than a third. */
    private static final double MIN_BEGUN_PER_SECOND = 5;

    /** Follows a change within about four seconds and keeps the noise of single reports out. */
    private static final double SMOOTHING = 0.3;

    private double mSeconds = Double.NaN;

    /** Records the demand of the whole fleet; called once a second. */
    void onDemand(DomainDemand total) {
        if (total.begun() < MIN_BEGUN_PER_SECOND) {
            return;
        }
        double sample = total.running() / total.begun();
        mSeconds = Double.isNaN(mSeconds) ? sample : mSeconds + SMOOTHING * (sample - mSeconds);
    }

    /** Returns the time in seconds; empty if it was never known. */
    OptionalDouble seconds() {
        return Double.isNaN(mSeconds) ? OptionalDouble.empty() : OptionalDouble.of(mSeconds);
    }
}
