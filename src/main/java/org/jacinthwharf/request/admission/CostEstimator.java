package org.jacinthwharf.request.admission;

import com.google.common.base.Preconditions;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.jacinthwharf.id.CustomerId;

/**
 * Estimates the cost of a request before it runs, in cost units.
 *
 * <p>Invariants: an estimate is positive and finite, and within 1/4 to 4 times the running mean of
 * the customer on the route, so that a wrong cost hint affects the customer's counter in {@link
 * ServiceLedger} by a bounded amount. At most {@link #MAX_MEANS} means are stored; the least
 * recently used one is evicted. Not thread-safe.
 */
public final class CostEstimator {
    /** Largest ratio between an estimate and the running mean, in both directions. */
    public static final double MAX_HINT_RATIO = 4;

    // 2,900 customers on 8 routes are 23,200 pairs; at about 200 bytes each they take 5 MB.
    private static final int MAX_MEANS = 24_000;
    // Exponential moving average over about 16 requests.
    private static final double SMOOTHING_FACTOR = 1.0 / 16;

    private record Key(CustomerId customer, String route) {}

    private final double mDefaultCost;
    private final Map<Key, Double> mMeans =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Key, Double> eldest) {
                    return size() > MAX_MEANS;
                }
            };

    /**
     * Creates an estimator without measurements.
     *
     * @param defaultCost used as the mean while a customer has no measurements on a route
     */
    public CostEstimator(double defaultCost) {
        Preconditions.checkArgument(
                isValidCost(defaultCost),
                "default cost must be positive and finite: %s",
                defaultCost);
        mDefaultCost = defaultCost;
    }

    /**
     * Returns the estimated cost of a request.
     *
     * @param hint the caller's cost hint, in cost units; a hint that is not a positive finite
     *     number is ignored
     */
    public double estimate(CustomerId customer, String route, OptionalDouble hint) {
        double mean = mMeans.getOrDefault(new Key(customer, route), mDefaultCost);
        if (hint.isEmpty() || !isValidCost(hint.getAsDouble())) {
            return mean;
        }
        return Math.max(mean / MAX_HINT_RATIO, Math.min(mean * MAX_HINT_RATIO, hint.getAsDouble()));
    }

    /**
     * Records the measured cost of a completed request; ignores a cost that is not positive and
     * finite.
     */
    public void record(CustomerId customer, String route, double measured) {
        if (isValidCost(measured)) {
            mMeans.merge(
                    new Key(customer, route),
                    measured,
                    (mean, cost) -> mean + (cost - mean) * SMOOTHING_FACTOR);
        }
    }

    private static boolean isValidCost(double cost) {
        return cost > 0 && Double.isFinite(cost);
    }
}
