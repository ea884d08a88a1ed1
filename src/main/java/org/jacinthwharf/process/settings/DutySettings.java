package org.jacinthwharf.process.settings;

import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.jacinthwharf.process.duty.Duty;

/**
 * Settings of the duties of a deployment.
 *
 * <p>Immutable.
 *
 * @param holderName name under which this process makes outside calls
 * @param address address of the outside interface
 * @param duties duties that the fleet performs
 * @param callsPerSecond outside calls allowed from all processes together
 * @param leaseMillis time within which two other holders must not act in turn
 * @param usageWindowMillis length of a usage window
 * @param usageDelayMillis time after the end of a window within which its report is due
 */
public record DutySettings(
        String holderName,
        Endpoint address,
        Set<Duty> duties,
        double callsPerSecond,
        long leaseMillis,
        long usageWindowMillis,
        long usageDelayMillis) {
    /** Few enough for any outside interface; a report and some orders a window need less. */
    public static final double DEFAULT_CALLS_PER_SECOND = 10;

    /** Three election timeouts. */
    public static final long DEFAULT_LEASE_MILLIS = 3_000;

    /** A window in which the largest customers have some hundred requests. */
    public static final long DEFAULT_WINDOW_MILLIS = 5_000;

    /** Two windows, so that a report outlasts the loss of a holder. */
    public static final long DEFAULT_DELAY_MILLIS = 10_000;

    /** Creates settings; all figures must be positive. */
    public DutySettings {
        Preconditions.checkArgument(
                callsPerSecond > 0, "callsPerSecond must be positive, not %s", callsPerSecond);
        Preconditions.checkArgument(
                leaseMillis > 0, "leaseMillis must be positive, not %s", leaseMillis);
        Preconditions.checkArgument(
                usageWindowMillis > 0,
                "usageWindowMillis must be positive, not %s",
                usageWindowMillis);
        Preconditions.checkArgument(
                usageDelayMillis > 0,
                "usageDelayMillis must be positive, not %s",
                usageDelayMillis);
        duties = ImmutableSet.copyOf(duties);
    }
}
