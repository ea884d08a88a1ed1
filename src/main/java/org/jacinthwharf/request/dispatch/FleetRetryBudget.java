package org.jacinthwharf.request.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries that a gateway sends to each service, so that in any window the retries of all
 * gateways stay below a ratio of the requests plus a fixed slack.
 *
 * <p>Invariant: in any window at most the ratio of this gateway's own requests of the window, plus
 * its fraction of the slack, is granted. The fractions of all gateways add up to the slack as long
 * as each knows how many there are; a gateway that knows of none grants nothing from the slack. Not
 * thread-safe.
 */
public final class FleetRetryBudget {
    // Leaves a margin below the bound for windows whose counts overlap.
    private static final double USED_FRACTION = 0.7;

    private final double mRatio;
    private final double mSlack;
    private final long mWindowNanos;
    private final Map<String, Counts> mServices = new HashMap<>();
    private int mGateways;

    private record Counts(SlidingWindowCounter requests, SlidingWindowCounter retries) {}

    /**
     * Creates a budget.
     *
     * @param ratio retries per request
     * @param slack retries of all gateways per window in addition to the ratio
     */
    public FleetRetryBudget(double ratio, double slack, long windowNanos) {
        mRatio = ratio;
        mSlack = slack;
        mWindowNanos = windowNanos;
    }

    /**
     * Sets how many gateways divide the slack. Lower numbers, as seen in a partition, are ignored,
     * so that no gateway's fraction grows.
     */
    public void setGateways(int gateways) {
        mGateways = Math.max(mGateways, gateways);
    }

    /** Records the first attempt of a request. */
    public void onRequest(String service, long nowNanos) {
        counts(service).requests().add(nowNanos);
    }

    /** Takes one retry from the budget, or returns false if it is empty. */
    public boolean tryRetry(String service, long nowNanos) {
        Counts c = counts(service);
        double slack = mGateways == 0 ? 0 : mSlack / mGateways;
        double limit = USED_FRACTION * (mRatio * c.requests().count(nowNanos) + slack);
        if (c.retries().count(nowNanos) + 1 > limit) {
            return false;
        }
        c.retries().add(nowNanos);
        return true;
    }

    private Counts counts(String service) {
        return mServices.computeIfAbsent(
                service,
                s ->
                        new Counts(
                                new SlidingWindowCounter(mWindowNanos),
                                new SlidingWindowCounter(mWindowNanos)));
    }
}
