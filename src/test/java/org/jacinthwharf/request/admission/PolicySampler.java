package org.jacinthwharf.request.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.jacinthwharf.id.CustomerId;

/** Samples the service gap and the slot utilisation of one policy run. Not thread-safe. */
final class PolicySampler {
    private static final long UTILISATION_INTERVAL = 5 * Fleet.MILLI;
    private static final long GAP_INTERVAL = 50 * Fleet.MILLI;

    private final Map<String, double[]> mGapRanges = new HashMap<>();
    private double mLargestGap;
    private long mUsedSlots;
    private long mAvailableSlots;

    /**
     * Starts sampling.
     *
     * @param served returns the service of a customer so far, in cost units
     * @param backlogged returns whether a customer has waiting requests
     * @param waiting returns the number of waiting requests of all customers
     * @param running returns the number of used slots
     */
    void start(
            Fleet clock,
            List<CustomerId> customers,
            ToDoubleFunction<CustomerId> served,
            Predicate<CustomerId> backlogged,
            IntSupplier waiting,
            IntSupplier running) {
        clock.every(GAP_INTERVAL, () -> sampleGaps(customers, served, backlogged));
        clock.every(
                UTILISATION_INTERVAL,
                () -> {
                    if (waiting.getAsInt() > 0) {
                        mUsedSlots += running.getAsInt();
                        mAvailableSlots += PolicyLoad.SLOTS;
                    }
                });
    }

    double largestGap() {
        return mLargestGap;
    }

    double utilisation() {
        return (double) mUsedSlots / mAvailableSlots;
    }

    // The service gap of a pair is the largest change of the difference of their service since both
    // became backlogged.
    private void sampleGaps(
            List<CustomerId> customers,
            ToDoubleFunction<CustomerId> served,
            Predicate<CustomerId> backlogged) {
        for (CustomerId a : customers) {
            for (CustomerId b : customers) {
                if (a.value().compareTo(b.value()) >= 0) {
                    continue;
                }
                String pair = a + "/" + b;
                if (!backlogged.test(a) || !backlogged.test(b)) {
                    mGapRanges.remove(pair);
                    continue;
                }
                double difference = served.applyAsDouble(a) - served.applyAsDouble(b);
                double[] range =
                        mGapRanges.computeIfAbsent(
                                pair, p -> new double[] {difference, difference});
                range[0] = Math.min(range[0], difference);
                range[1] = Math.max(range[1], difference);
                mLargestGap = Math.max(mLargestGap, range[1] - range[0]);
            }
        }
    }
}
