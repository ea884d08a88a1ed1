package org.jacinthwharf.request.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.jacinthwharf.id.CustomerId;

/** Samples the service gap and the use of slots in one run of a policy. Not thread-safe. */
final class PolicySampler {
    private static final long USE_INTERVAL = 5 * Fleet.MILLI;
    private static final long GAP_INTERVAL = 50 * Fleet.MILLI;

    private final Map<String, double[]> mRanges = new HashMap<>();
    private double mLargestGap;
    private long mUsed;
    private long mAvailable;

    /**
     * Starts sampling.
     *
     * @param served service of a customer so far, in cost units
     * @param backlogged whether a customer has waiting requests
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
                USE_INTERVAL,
                () -> {
                    if (waiting.getAsInt() > 0) {
                        mUsed += running.getAsInt();
                        mAvailable += PolicyLoad.SLOTS;
                    }
                });
    }

    double largestGap() {
        return mLargestGap;
    }

    double utilisation() {
        return (double) mUsed / mAvailable;
    }

    // The gap of a pair counts from the time at which both became backlogged.
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
                    mRanges.remove(pair);
                    continue;
                }
                double gap = served.applyAsDouble(a) - served.applyAsDouble(b);
                double[] range = mRanges.computeIfAbsent(pair, p -> new double[] {gap, gap});
                range[0] = Math.min(range[0], gap);
                range[1] = Math.max(range[1], gap);
                mLargestGap = Math.max(mLargestGap, range[1] - range[0]);
            }
        }
    }
}
