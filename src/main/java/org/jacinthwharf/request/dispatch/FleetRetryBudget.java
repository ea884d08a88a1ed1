package org.jacinthwharf.request.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the repeats that a gateway sends to each service, so that all gateways together stay below
 * a share of the requests plus a fixed number in any window.
 *
 * <p>Invariant: in any window at most the ratio of this gateway's own requests of the window, plus
 * its part of the fixed number, are granted. The parts of all gateways add up to the fixed number
 * as long as each knows how many there are; a gateway that knows of none grants nothing from it.
 * Not thread-safe.
 */
public final class FleetRetryBudget {
    // Keeps clear of the bound when counts of two windows overlap.
    private static final double USED_PART = 0.7;

    private final double mRatio;
    private final double mSlack;
    private final long mWindowNanos;
    private final Map<String, Counts> mServices = new HashMap<>();
    private int mGateways;

    private record Counts(SlidingCount requests, SlidingCount repeats) {}

    /**
     * Creates a budget.
     *
     * @param ratio repeats for each request
     * @param slack repeats of all gateways in one window beyond that
     */
    public FleetRetryBudget(double ratio, double slack, long windowNanos) {
        mRatio = ratio;
        mSlack = slack;
        mWindowNanos = windowNanos;
    }

    /** Sets how many gateways share the fixed number; a partition never raises a part. */
    public void setGateways(int gateways) {
        mGateways = Math.max(mGateways, gateways);
    }

    /** Counts the first attempt of a request. */
    public void onRequest(String service, long nowNanos) {
        counts(service).requests().add(nowNanos);
    }

    /** Takes one repeat from the budget, or returns false if it is empty. */
    public boolean tryRepeat(String service, long nowNanos) {
        Counts c = counts(service);
        double slack = mGateways == 0 ? 0 : mSlack / mGateways;
        double limit = USED_PART * (mRatio * c.requests().count(nowNanos) + slack);
        if (c.repeats().count(nowNanos) + 1 > limit) {
            return false;
        }
        c.repeats().add(nowNanos);
        return true;
    }

    private Counts counts(String service) {
        return mServices.computeIfAbsent(
                service,
                s -> new Counts(new SlidingCount(mWindowNanos), new SlidingCount(mWindowNanos)));
    }
}
