package org.jacinthwharf.process.scaling;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.jacinthwharf.process.scaling.Demand.DomainDemand;
import org.jacinthwharf.process.scaling.ScalingSimulation.Domain;
import org.jacinthwharf.wire.generated.CapacityOrder;
import org.jacinthwharf.wire.generated.Hello;
import org.jacinthwharf.wire.generated.ServiceDemand;
import org.jacinthwharf.wire.generated.UsageReport;
import org.junit.jupiter.api.Test;

/** Guards the number of servers under loads that change, with some of the fleet lost or unseen. */
final class ScalingTest {
    private static final int MIN = 4;
    private static final int MAX = 40;
    private static final long SECOND = 1_000_000_000L;

    private final ScalingSimulation mFleet = new ScalingSimulation(MIN, MAX, 1);

    /** Servers that are removed in a trough are missing at the next crest, 8 s from their start. */
    @Test
    void waveDoesNotLowerTheNumberInItsTroughs() {
        Domain west = mFleet.add("west", 13, t -> 100 + 90 * Math.sin(2 * Math.PI * t / 11));
        mFleet.runUntil(30);
        west.reset();
        int orders = west.mOrders.size();
        mFleet.runUntil(120);
        // The crest of 190 requests a second of half a second needs 19.8 servers at 60%.
        List<Integer> later = west.ordered().subList(0, west.mOrders.size() - orders);
        assertThat(west.mDesired).isAtLeast(19);
        assertThat(later.stream().allMatch(n -> n >= 19)).isTrue();
        assertThat(later.size()).isAtMost(8);
        assertThat(west.refusedPart()).isLessThan(0.001);
    }

    /** Servers that refuse everything at once would be multiplied without any use. */
    @Test
    void serversThatFailAtOnceAreNotTakenForFull() {
        ServerRate rate = new ServerRate();
        for (int t = 0; t < 6; t++) {
            rate.onDemand(new DomainDemand(100, 100, 0, 0, 50), 10, t * SECOND);
        }
        assertThat(rate.onDemand(new DomainDemand(100, 2, 98, 0, 1), 10, 6 * SECOND)).isFalse();
        assertThat(rate.onDemand(new DomainDemand(100, 60, 40, 0, 80), 10, 7 * SECOND)).isTrue();
    }

    /**
     * The requests of a moment ago, divided by servers that have just come, look like slow servers.
     */
    @Test
    void rateIsNotLearnedWhileServersArrive() {
        ServerRate rate = new ServerRate();
        DomainDemand full = new DomainDemand(90, 60, 30, 0, 80);
        for (int t = 0; t < 6; t++) {
            rate.onDemand(full, 10, t * SECOND);
        }
        double before = rate.servers(full).orElseThrow();
        assertThat(rate.onDemand(new DomainDemand(90, 100, 0, 60, 80), 30, 6 * SECOND)).isTrue();
        assertThat(rate.servers(full).orElseThrow()).isWithin(0.01).of(before);
    }

    /** A number that grows by one a second would turn callers away for half a minute. */
    @Test
    void tenfoldStepOfSomeCustomersGetsItsServersAtOnce() {
        Domain west = mFleet.add("west", 13, t -> t < 30 ? 40 : 20 + 200);
        Domain east = mFleet.add("east", 13, t -> 40);
        mFleet.runUntil(33);
        assertThat(west.mDesired).isAtLeast(20);
        assertThat(east.mDesired).isAtMost(13);
        mFleet.runUntil(44);
        west.reset();
        mFleet.runUntil(80);
        assertThat(west.refusedPart()).isLessThan(0.001);
    }

    /** By slots alone, servers that take 3 of 8 requests at once would need no help. */
    @Test
    void fullServersGetHelpAlthoughSlotsAreFree() {
        mFleet.mUsableSlots = 3;
        Domain west = mFleet.add("west", 10, t -> 80);
        mFleet.runUntil(20);
        west.reset();
        mFleet.runUntil(150);
        assertThat(west.refusedPart()).isLessThan(0.01);
        assertThat(west.mDesired).isAtMost(25);
    }

    /** An order of the servers that are left would make the loss permanent. */
    @Test
    void crashOfQuarterOfServersDoesNotLowerTheNumber() {
        Domain west = mFleet.add("west", 16, t -> 120);
        mFleet.runUntil(6);
        west.crash(4);
        mFleet.runUntil(20);
        assertThat(west.ordered().stream().allMatch(n -> n >= 16)).isTrue();
        assertThat(west.servers()).isAtLeast(16);
        assertThat(west.refusedPart()).isLessThan(0.01);
    }

    /** A domain that is cut off looks quiet, and would lose its servers. */
    @Test
    void nothingIsOrderedForDomainThatIsCutOff() {
        Domain west = mFleet.add("west", 16, t -> 120);
        Domain east = mFleet.add("east", 16, t -> 120);
        mFleet.runUntil(30);
        west.mCut = true;
        mFleet.runUntil(33); // The last reports are still fresh for a moment.
        int orders = west.mOrders.size();
        int servers = west.mDesired;
        east.mRate = t -> 10;
        mFleet.runUntil(80);
        assertThat(west.mOrders).hasSize(orders);
        assertThat(east.mDesired).isLessThan(10);
        west.mCut = false;
        mFleet.runUntil(80 + 2 * ScalingSimulation.START_SECONDS - 1);
        assertThat(west.mDesired).isAtLeast(servers);
    }

    /** A new holder knows no earlier need; it must not undo an increase that is under way. */
    @Test
    void restartOfHolderDoesNotUndoMove() {
        Domain west = mFleet.add("west", 13, t -> t > 30 && t < 34 ? 220 : 60);
        mFleet.runUntil(35);
        int servers = west.mDesired;
        assertThat(servers).isAtLeast(20);
        mFleet.restartHolder();
        mFleet.runUntil(50);
        assertThat(west.mDesired).isEqualTo(servers);
        mFleet.runUntil(120);
        assertThat(west.mDesired).isLessThan(13);
    }

    /** The rate learned from slow servers must not keep the number high when they are fast. */
    @Test
    void serversThatAreAllSlowForWhileAreDoubledAndReduced() {
        Domain west = mFleet.add("west", 16, t -> 120);
        mFleet.runUntil(40);
        mFleet.mServiceSeconds = 1.5;
        mFleet.runUntil(43);
        assertThat(west.mDesired).isAtLeast(30);
        mFleet.runUntil(80);
        mFleet.mServiceSeconds = 0.5;
        west.reset();
        mFleet.runUntil(200);
        assertThat(west.mDesired).isAtMost(18);
        assertThat(west.refusedPart()).isLessThan(0.001);
    }

    /** Every server costs; a quiet service keeps the minimum, but not after a short dip. */
    @Test
    void quietServiceFallsToItsMinimumSlowly() {
        Domain west = mFleet.add("west", 30, t -> t < 30 ? 250 : 4);
        mFleet.runUntil(30 + 2 * ScalingSimulation.START_SECONDS - 1);
        assertThat(west.mDesired).isAtLeast(30);
        mFleet.runUntil(50);
        assertThat(west.mDesired).isAtLeast(20);
        mFleet.runUntil(110);
        assertThat(west.mDesired).isEqualTo(MIN);
    }

    /** Callers of a domain at its limit are served elsewhere; servers there must be enough. */
    @Test
    void needAboveTheLimitGoesToOtherDomains() {
        mFleet.add("west", MAX, t -> 500);
        Domain east = mFleet.add("east", 10, t -> 40);
        mFleet.runUntil(12);
        // West needs 52 servers for its own callers, east 4.2.
        assertThat(east.mDesired).isAtLeast(14);
    }

    /** Counts from the time before a new link or a restart would look like a burst. */
    @Test
    void countersOfNewGatewaysAreNoBurst() {
        DemandView view = new DemandView();
        for (int t = 1; t <= 4; t++) {
            view.onReport(gateway(1), report(t, 1_000_000 + 10 * t), t * SECOND);
        }
        assertThat(asked(view, 4)).isWithin(0.1).of(10);
        view.onReport(gateway(2), report(1, 7), 5 * SECOND);
        assertThat(asked(view, 5)).isEqualTo(0);
        assertThat(view.demand(5 * SECOND).seenDomains()).isEmpty();
        view.onReport(gateway(1), report(9, 2_000_000), 6 * SECOND);
        view.onReport(gateway(2), report(2, 12), 7 * SECOND);
        assertThat(asked(view, 7)).isWithin(0.1).of(2.5);
        assertThat(view.demand(7 * SECOND).seenDomains()).containsExactly("west");
    }

    private static double asked(DemandView view, int second) {
        return view.demand(second * SECOND).ofService("s").get("west").asked();
    }

    private static Hello gateway(long incarnation) {
        return Hello.newBuilder()
                .setVmId("g")
                .setIncarnation(incarnation)
                .setFailureDomain("west")
                .build();
    }

    private static UsageReport report(long sequence, long asked) {
        return UsageReport.newBuilder()
                .setSequence(sequence)
                .addDemands(ServiceDemand.newBuilder().setService("s").setAsked(asked))
                .build();
    }

    /** A lower order behind one without an answer would need another token for little gain. */
    @Test
    void orderWithoutAnswerIsRepeatedAndNotLowered() {
        Domain west = mFleet.add("west", 20, t -> 10);
        mFleet.runUntil(30);
        CapacityOrder last = west.mOrders.get(0);
        CapacityOrder unanswered = last.toBuilder().setDelivered(false).build();
        List<CapacityOrder> orders =
                mFleet.mPlanner.orders(List.of(mFleet.mService), List.of(unanswered), 40 * SECOND);
        assertThat(orders).hasSize(1);
        assertThat(orders.get(0).getServers()).isEqualTo(last.getServers());
    }

    /** Servers that were ordered long ago and never came would promise a short wait for ever. */
    @Test
    void onlyServersThatAreStillStartingAreExpected() {
        ServerCounts none = ServerCounts.of(Set.of(), SECOND, 0);
        CapacityOrder order =
                CapacityOrder.newBuilder()
                        .setService("s")
                        .setFailureDomain("west")
                        .setServers(6)
                        .setRecordedMillis(1_000)
                        .build();
        var services = List.of(mFleet.mService);
        var expected = OrderedServers.expected(services, List.of(order), none, 4_000);
        assertThat(expected.getServers(0).getServers()).isEqualTo(6);
        assertThat(expected.getServers(0).getReadyInMillis()).isEqualTo(5_000);
        var late = OrderedServers.expected(services, List.of(order), none, 20_000);
        assertThat(late.getServersCount()).isEqualTo(0);
    }
}
