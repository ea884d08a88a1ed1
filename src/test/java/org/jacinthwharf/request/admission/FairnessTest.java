package org.jacinthwharf.request.admission;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.wire.generated.ServerState;

/**
 * Guards G1 and G2 against a service gap that grows with time, and a customer that waits behind a
 * flood of another customer. All limits are computed by the formula in section 3.2 of the design.
 */
final class FairnessTest {
    private static final int ROUTERS = 3;
    private static final int SLOTS = 8;
    private static final double LARGEST_COST = 40;
    // A lost grant or return occupies its slot until the owner detects the gap in the sequence
    // numbers.
    private static final double LOSS = 0.02;
    private static final CustomerId FLOOD = CustomerId.of("flood");
    private static final double UNITS_PER_SECOND = SLOTS * 1_000.0;

    private final Map<String, double[]> mGapRanges = new HashMap<>();
    private int mJobs;

    private static Fleet fleet(long seed, double loss) {
        Fleet fleet = new Fleet(seed, ROUTERS);
        fleet.mLoss = loss;
        // Requests take about 10 ms, so that many messages per slot and second are lost.
        fleet.mUnitNanos = Fleet.MILLI;
        fleet.addServer("s0", ServerState.WARM, 1, SLOTS / 2, 0);
        fleet.addServer("s1", ServerState.WARM, 1, SLOTS / 2, 1);
        return fleet;
    }

    private static FairnessBound bound(double smallestWeight) {
        return new FairnessBound(SLOTS, LARGEST_COST, UNITS_PER_SECOND, 0.4, smallestWeight);
    }

    /**
     * Offers requests of a customer to one router at the given rate, with hints of a random kind.
     */
    private void offerLoad(Fleet fleet, CustomerId customer, int router, double unitsPerSecond) {
        int hintKind = fleet.mRandom.nextInt(4);
        double mean = 2 + fleet.mRandom.nextDouble() * (LARGEST_COST / 2 - 2);
        fleet.every(
                (long) (mean / unitsPerSecond * Fleet.SECOND),
                () -> {
                    double cost = mean * 2 * fleet.mRandom.nextDouble();
                    OptionalDouble hint =
                            switch (hintKind) {
                                case 0 -> OptionalDouble.empty();
                                case 1 -> OptionalDouble.of(cost * 1_000);
                                case 2 -> OptionalDouble.of(cost / 1_000);
                                default -> OptionalDouble.of(cost);
                            };
                    fleet.router(router)
                            .offer(
                                    customer,
                                    new Fleet.Job(customer + "-" + mJobs++, cost),
                                    hint,
                                    600 * Fleet.SECOND);
                });
    }

    private static boolean isBacklogged(Fleet fleet, CustomerId customer) {
        return fleet.mRouters.values().stream()
                .anyMatch(r -> r.mWaiting.getOrDefault(customer, 0) > 0);
    }

    /** Checks the range of the service gap of each pair since both became backlogged. */
    private void checkGaps(Fleet fleet, Map<CustomerId, Double> weights, double limit) {
        List<CustomerId> customers = new ArrayList<>(weights.keySet());
        for (int i = 0; i < customers.size(); i++) {
            for (int j = 0; j < i; j++) {
                CustomerId a = customers.get(i);
                CustomerId b = customers.get(j);
                String pair = a + "/" + b;
                if (!isBacklogged(fleet, a) || !isBacklogged(fleet, b)) {
                    mGapRanges.remove(pair);
                    continue;
                }
                double gap = fleet.served(a) / weights.get(a) - fleet.served(b) / weights.get(b);
                double[] range = mGapRanges.computeIfAbsent(pair, p -> new double[] {gap, gap});
                range[0] = Math.min(range[0], gap);
                range[1] = Math.max(range[1], gap);
                assertWithMessage("gap of %s at %s s", pair, fleet.mNow / 1e9)
                        .that(range[1] - range[0])
                        .isAtMost(limit);
            }
        }
    }

    @Property(tries = 12, seed = "101")
    void gapOfBackloggedCustomersStaysUnderTheFormulaUnderFloodAndWrongHints(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int others) {
        mGapRanges.clear();
        Fleet fleet = fleet(seed, LOSS);
        Map<CustomerId, Double> weights = new HashMap<>();
        weights.put(FLOOD, 1.0);
        double share = UNITS_PER_SECOND / (others + 1);
        for (int i = 0; i < ROUTERS; i++) {
            offerLoad(fleet, FLOOD, i, 100 * share / ROUTERS);
        }
        for (int i = 0; i < others; i++) {
            CustomerId customer = CustomerId.of("c" + i);
            weights.put(customer, 1.0 + fleet.mRandom.nextInt(2));
            offerLoad(fleet, customer, fleet.mRandom.nextInt(ROUTERS), 3 * share);
        }
        weights.forEach((c, w) -> fleet.mRouters.values().forEach(r -> r.mLedger.setWeight(c, w)));
        fleet.every(50 * Fleet.MILLI, () -> checkGaps(fleet, weights, bound(1).value()));
        // The bound is independent of time. Without exchange of totals the gap exceeds it within 10
        // s of the start.
        fleet.runFor(40 * Fleet.SECOND);
        assertWithMessage("compared pairs").that(mGapRanges.size()).isAtLeast(others);
    }

    @Property(tries = 12, seed = "102")
    void wellBehavedCustomerNeverWaitsBehindOneThatFloods(
            @ForAll long seed, @ForAll @IntRange(max = 2) int router) {
        Fleet fleet = fleet(seed, LOSS);
        CustomerId wellBehaved = CustomerId.of("polite");
        offerLoad(fleet, FLOOD, 0, 100 * UNITS_PER_SECOND / 2);
        fleet.runFor(5 * Fleet.SECOND);
        offerLoad(fleet, wellBehaved, router, UNITS_PER_SECOND / 10);
        fleet.runFor(30 * Fleet.SECOND);
        // While this customer waits, the other one gets all capacity; the gap reaches the bound
        // after bound/R seconds.
        double limitSeconds = bound(1).value() / UNITS_PER_SECOND;
        Long longest = fleet.router(router).mLongestWait.get(wellBehaved);
        assertWithMessage("served").that(longest).isNotNull();
        assertWithMessage("longest wait in seconds").that(longest / 1e9).isAtMost(limitSeconds);
        assertWithMessage("refusals of the well-behaved customer")
                .that(fleet.mOutcomes.stream().filter(o -> o.startsWith("refuse polite")).count())
                .isEqualTo(0);
    }

    @Property(tries = 12, seed = "103")
    void noSlotIsIdleLongerThanOneExchangeRoundWhileWorkWaits(@ForAll long seed) {
        Fleet fleet = fleet(seed, 0);
        fleet.runFor(3 * Fleet.SECOND);
        fleet.mServers.values().forEach(s -> s.mLongestIdleNanos = 0);
        fleet.mServers.values().forEach(s -> s.mIdleSinceNanos = fleet.mNow);
        for (int i = 0; i < ROUTERS; i++) {
            offerLoad(fleet, CustomerId.of("c" + i), i, UNITS_PER_SECOND / ROUTERS * 1.1);
        }
        fleet.runFor(20 * Fleet.SECOND);
        for (FleetServer server : fleet.mServers.values()) {
            assertWithMessage("longest idle time of %s in ms", server.mId)
                    .that(server.mLongestIdleNanos / 1e6)
                    .isAtMost((200 * Fleet.MILLI + 4 * fleet.mMaxDelayNanos) / 1e6);
            assertWithMessage("most running").that(server.mMaxRunning).isEqualTo(SLOTS / 2);
        }
    }
}
