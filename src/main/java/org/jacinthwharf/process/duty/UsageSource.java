package org.jacinthwharf.process.duty;

import java.util.Optional;
import org.jacinthwharf.wire.generated.UsageWindow;

/** Counts of usage at a control member. Called on the event loop only. */
public interface UsageSource {
    /**
     * Returns the first window whose counts are as complete as they will be.
     *
     * @param nextWindow earlier windows are fixed, and their counts are no longer needed
     */
    Optional<UsageWindow> ready(long nextWindow);

    /** Returns the time of the fleet in milliseconds since the epoch. */
    long fleetMillis();
}
