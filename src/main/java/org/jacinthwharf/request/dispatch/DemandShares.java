package org.jacinthwharf.request.dispatch;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The share of what all gateways may send that each of them gets, by the customers whose requests
 * wait there.
 *
 * <p>A customer counts once, however many of its requests wait, in equal parts at the gateways
 * where it is backlogged. So a customer that reaches the fleet through one gateway gets as much as
 * one that reaches it through all. Not thread-safe. Invariants: the shares add up to 1; they change
 * at most once in {@link #EPOCH_NANOS}, and while gateways may differ in what they know, each uses
 * the smaller one of two shares.
 */
final class DemandShares {
    /** Longer than totals need to reach all gateways, so that all have changed by the end of it. */
    static final long EPOCH_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Part of the shares that is divided evenly, for requests that arrive before all is known. */
    private static final double EVEN_FRACTION = 0.2;

    /** Smaller changes of a share are not worth the loss of one. */
    private static final double MIN_CHANGE = 0.05;

    private ImmutableMap<String, Double> mPrevious = ImmutableMap.of();
    private ImmutableMap<String, Double> mCurrent = ImmutableMap.of();
    private long mEpochStartNanos = Long.MIN_VALUE / 2;

    /** Starts again with even shares for a list of gateways. */
    void setGateways(Set<String> gateways) {
        mCurrent = even(gateways);
        mPrevious = mCurrent;
        mEpochStartNanos = Long.MIN_VALUE / 2;
    }

    private static ImmutableMap<String, Double> even(Set<String> gateways) {
        ImmutableMap.Builder<String, Double> shares = ImmutableMap.builder();
        gateways.forEach(g -> shares.put(g, 1.0 / gateways.size()));
        return shares.buildOrThrow();
    }

    /**
     * Sets the number of customers that are backlogged at each gateway.
     *
     * @param demand gateways that are not listed have none
     * @return whether the shares changed
     */
    boolean setDemand(Map<String, Double> demand, long nowNanos) {
        if (nowNanos - mEpochStartNanos < EPOCH_NANOS) {
            return false;
        }
        ImmutableMap<String, Double> next = shares(demand);
        boolean changed =
                next.entrySet().stream()
                        .anyMatch(
                                e ->
                                        Math.abs(e.getValue() - mCurrent.get(e.getKey()))
                                                > MIN_CHANGE);
        if (changed) {
            mPrevious = mCurrent;
            mCurrent = next;
            mEpochStartNanos = nowNanos;
        }
        return changed;
    }

    private ImmutableMap<String, Double> shares(Map<String, Double> demand) {
        double total =
                mCurrent.keySet().stream().mapToDouble(g -> demand.getOrDefault(g, 0.0)).sum();
        if (total == 0) {
            return even(mCurrent.keySet());
        }
        Map<String, Double> shares = new HashMap<>();
        for (String g : mCurrent.keySet()) {
            double byDemand = demand.getOrDefault(g, 0.0) / total;
            shares.put(g, EVEN_FRACTION / mCurrent.size() + (1 - EVEN_FRACTION) * byDemand);
        }
        return ImmutableMap.copyOf(shares);
    }

    /** Returns the shares in force by gateway. */
    ImmutableMap<String, Double> current() {
        return mCurrent;
    }

    /** Returns the shares that were in force before. */
    ImmutableMap<String, Double> previous() {
        return mPrevious;
    }

    /** Returns whether gateways may still use the previous shares. */
    boolean isChanging(long nowNanos) {
        return nowNanos - mEpochStartNanos < EPOCH_NANOS;
    }

    /** Returns when all gateways use the current shares. */
    long settledNanos() {
        return mEpochStartNanos + EPOCH_NANOS;
    }
}
