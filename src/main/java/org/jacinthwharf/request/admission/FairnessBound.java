package org.jacinthwharf.request.admission;

import com.google.common.base.Preconditions;

/**
 * Upper bound of the service gap between two backlogged customers; see section 3.2 of the design.
 *
 * <p>Immutable.
 *
 * @param slots number of slots in service (S)
 * @param largestCost maximum cost of a request in cost units (L)
 * @param capacity cost units per second of all slots (R)
 * @param exchangeSeconds exchange interval times the number of hops (T)
 * @param smallestWeight smallest weight of a customer (w)
 */
public record FairnessBound(
        int slots,
        double largestCost,
        double capacity,
        double exchangeSeconds,
        double smallestWeight) {
    /** Creates a bound; the smallest weight must be positive. */
    public FairnessBound {
        Preconditions.checkArgument(
                smallestWeight > 0, "smallest weight must be positive: %s", smallestWeight);
    }

    /** Returns {@code 2 * (S*L + R*T) / w} in cost units divided by weight. */
    public double value() {
        return 2 * (slots * largestCost + capacity * exchangeSeconds) / smallestWeight;
    }
}
