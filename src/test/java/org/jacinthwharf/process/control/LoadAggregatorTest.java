package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jacinthwharf.wire.generated.CustomerTotal;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.FleetLoad;
import org.jacinthwharf.wire.generated.GatewayLoad;
import org.jacinthwharf.wire.generated.OriginTotals;
import org.jacinthwharf.wire.generated.ServerLoad;
import org.jacinthwharf.wire.generated.ServerRateLimit;
import org.junit.jupiter.api.Test;

/** Guards against load sums that are out of date, count twice or include the receiver's load. */
final class LoadAggregatorTest {
    private final ManualEventLoop mLoop = new ManualEventLoop();
    private final LoadAggregator mAggregator = new LoadAggregator(mLoop);
    private final FakeLink mGatewayA = new FakeLink("10.0.0.1", "gateway");
    private final FakeLink mGatewayB = new FakeLink("10.0.0.2", "gateway");
    private final FakeLink mGatewayC = new FakeLink("10.0.0.3", "gateway");

    private static GatewayLoad load(long sequence, long pendingTokens) {
        return GatewayLoad.newBuilder()
                .setSequence(sequence)
                .addServers(
                        ServerLoad.newBuilder()
                                .setServer("e")
                                .setRunning(1)
                                .setUnreadTokens(pendingTokens))
                .build();
    }

    private void connectAll() {
        List.of(mGatewayA, mGatewayB, mGatewayC).forEach(mAggregator::onUp);
        mLoop.runScheduled();
        List.of(mGatewayA, mGatewayB, mGatewayC).forEach(l -> l.mSent.clear());
    }

    private static FleetLoad last(FakeLink link) {
        Envelope last = link.mSent.get(link.mSent.size() - 1);
        return last.getFleetLoad();
    }

    /** Returns the load as a gateway knows it after all messages on the link. */
    private static FleetLoad known(FakeLink link) {
        Map<String, ServerLoad> servers = new TreeMap<>();
        List<String> gateways = List.of();
        for (Envelope e : link.mReceived) {
            FleetLoad load = e.getFleetLoad();
            if (!load.getChangesOnly()) {
                servers.clear();
            }
            load.getServersList().forEach(s -> servers.put(s.getServer(), s));
            gateways = load.getGatewaysCount() > 0 ? load.getGatewaysList() : gateways;
        }
        return FleetLoad.newBuilder()
                .addAllServers(servers.values().stream().filter(s -> s.getRunning() > 0).toList())
                .addAllGateways(gateways)
                .build();
    }

    @Test
    void eachGatewayReceivesTheSumOfTheOthers() {
        connectAll();
        mAggregator.onLoad(mGatewayA, load(1, 100));
        mAggregator.onLoad(mGatewayB, load(1, 20));
        mLoop.runScheduled();
        assertThat(last(mGatewayC).getServers(0).getUnreadTokens()).isEqualTo(120);
        assertThat(last(mGatewayA).getServers(0).getUnreadTokens()).isEqualTo(20);
        assertThat(known(mGatewayC).getGatewaysList())
                .containsExactly("10.0.0.1", "10.0.0.2", "10.0.0.3");
    }

    @Test
    void changesWithinTheBatchDelayAreSentInOneMessage() {
        connectAll();
        mAggregator.onLoad(mGatewayA, load(1, 100));
        mAggregator.onLoad(mGatewayB, load(1, 20));
        mAggregator.onLoad(mGatewayA, load(2, 50));
        mLoop.runScheduled();
        assertThat(mGatewayC.mSent).hasSize(1);
        assertThat(last(mGatewayC).getServers(0).getUnreadTokens()).isEqualTo(70);
    }

    @Test
    void nothingIsSentWhileNothingChanges() {
        connectAll();
        mAggregator.onLoad(mGatewayA, load(1, 100));
        mLoop.runScheduled();
        mLoop.runScheduled();
        mAggregator.onLoad(mGatewayA, load(1, 70));
        mLoop.runScheduled();
        assertThat(mGatewayC.mSent).hasSize(1);
        assertThat(last(mGatewayC).getServers(0).getUnreadTokens()).isEqualTo(100);
    }

    @Test
    void aDisconnectedGatewayContributesNothing() {
        connectAll();
        mAggregator.onLoad(mGatewayA, load(1, 100));
        mLoop.runScheduled();
        mAggregator.onDown(mGatewayA);
        mLoop.runScheduled();
        assertThat(known(mGatewayC).getServersList()).isEmpty();
        assertThat(known(mGatewayC).getGatewaysList()).containsExactly("10.0.0.2", "10.0.0.3");
    }

    // Guards against messages that repeat the load of all servers to all gateways: they filled
    // links
    // between failure domains and processors of idle gateways.
    @Test
    void onlyChangedLoadsAreSent() {
        connectAll();
        mAggregator.onLoad(mGatewayA, loads(1, 1, 1));
        mLoop.runScheduled();
        mAggregator.onLoad(mGatewayA, loads(2, 1, 2));
        mLoop.runScheduled();
        assertThat(last(mGatewayC).getServersList()).hasSize(1);
        assertThat(last(mGatewayC).getGatewaysList()).isEmpty();
        assertThat(known(mGatewayC).getServersList())
                .containsExactlyElementsIn(loads(2, 1, 2).getServersList());
    }

    @Test
    void changesThatLinkDidNotTakeAreSentLater() {
        connectAll();
        mGatewayC.mFull = true;
        mAggregator.onLoad(mGatewayA, totals(1, 7).toBuilder().mergeFrom(loads(1, 1, 1)).build());
        mLoop.runScheduled();
        mGatewayC.mFull = false;
        mLoop.runScheduled();
        assertThat(known(mGatewayC).getServersList()).hasSize(2);
        assertThat(last(mGatewayC).getOrigins(0).getTotals(0).getTotal()).isEqualTo(7.0);
    }

    @Test
    void newestTotalsOfCustomersReachEachGatewayOnce() {
        connectAll();
        mAggregator.onLoad(mGatewayA, totals(1, 7));
        mAggregator.onLoad(mGatewayA, totals(2, 9));
        mLoop.runScheduled();
        assertThat(last(mGatewayC).getOriginsList()).hasSize(1);
        assertThat(last(mGatewayC).getOrigins(0).getTotalsList()).hasSize(1);
        assertThat(last(mGatewayC).getOrigins(0).getTotals(0).getTotal()).isEqualTo(9.0);
        mAggregator.onLoad(mGatewayA, load(3, 1));
        mLoop.runScheduled();
        assertThat(last(mGatewayC).getOriginsList()).isEmpty();
    }

    // Guards against a relay that spends its processor on messages as the fleet grows.
    @Test
    void messagesPerSecondAreBoundedWhateverTheNumberOfGateways() {
        int gateways = 850;
        for (int i = 0; i < gateways; i++) {
            mAggregator.onUp(new FakeLink("10.1." + i / 250 + "." + i % 250, "gateway"));
        }
        mLoop.runScheduled();
        mAggregator.onLoad(mGatewayA, load(1, 1));
        mAggregator.onUp(mGatewayA);
        assertThat(gateways / (mLoop.mLastDelay.toMillis() / 1e3)).isAtMost(4_050);
        assertThat(mLoop.mLastDelay).isLessThan(Duration.ofMillis(300));
    }

    private static GatewayLoad loads(long sequence, int first, int second) {
        return GatewayLoad.newBuilder()
                .setSequence(sequence)
                .addServers(ServerLoad.newBuilder().setServer("e1").setRunning(first))
                .addServers(ServerLoad.newBuilder().setServer("e2").setRunning(second))
                .build();
    }

    private static GatewayLoad totals(long sequence, double total) {
        return GatewayLoad.newBuilder()
                .setSequence(sequence)
                .setCustomers(
                        OriginTotals.newBuilder()
                                .setOrigin("10.0.0.1/1")
                                .addTotals(
                                        CustomerTotal.newBuilder()
                                                .setCustomer("c")
                                                .setTotal(total)))
                .build();
    }

    private static GatewayLoad named(long sequence, double rate, long ageMillis) {
        return load(sequence, sequence).toBuilder()
                .addRateLimits(
                        ServerRateLimit.newBuilder()
                                .setServer("e")
                                .setRequestsPerSecond(rate)
                                .setAgeMillis(ageMillis))
                .build();
    }

    @Test
    void newestRateThatServersNamedToAnyGatewayIsSentToAll() {
        connectAll();
        mAggregator.onLoad(mGatewayA, named(1, 3, 50));
        mLoop.advance(Duration.ofMillis(20));
        mAggregator.onLoad(mGatewayB, named(1, 5, 60));
        mLoop.runScheduled();
        assertThat(last(mGatewayC).getRateLimits(0).getRequestsPerSecond()).isEqualTo(5.0);
        assertThat(last(mGatewayC).getRateLimits(0).getAgeMillis()).isEqualTo(60);
    }

    // Guards against relays that send all rates with each change of the load.
    @Test
    void ratesThatDidNotChangeAreSentAgainOnlyNowAndThen() {
        connectAll();
        mAggregator.onLoad(mGatewayA, named(1, 3, 0));
        mLoop.runScheduled();
        mAggregator.onLoad(mGatewayA, named(2, 3, 0));
        mLoop.runScheduled();
        assertThat(last(mGatewayC).getRateLimitsCount()).isEqualTo(0);
        mLoop.advance(Duration.ofMillis(200));
        mAggregator.onLoad(mGatewayA, named(3, 3, 0));
        mLoop.runScheduled();
        assertThat(last(mGatewayC).getRateLimitsCount()).isEqualTo(1);
        mAggregator.onLoad(mGatewayA, named(4, 2, 0));
        mLoop.runScheduled();
        assertThat(last(mGatewayC).getRateLimits(0).getRequestsPerSecond()).isEqualTo(2.0);
    }

    /** Guards against sums that a gateway believes though most gateways report elsewhere. */
    @Test
    void sumsSayHowManyGatewaysReportHere() {
        connectAll();
        mAggregator.onLoad(mGatewayA, load(1, 100));
        mLoop.runScheduled();
        assertThat(last(mGatewayA).getReportingGateways()).isEqualTo(1);
        mAggregator.onLoad(mGatewayB, load(1, 20));
        mLoop.runScheduled();
        assertThat(last(mGatewayA).getReportingGateways()).isEqualTo(2);

        mAggregator.onLoad(
                mGatewayA, GatewayLoad.newBuilder().setSequence(2).setWithdrawn(true).build());
        mLoop.runScheduled();
        assertThat(last(mGatewayB).getReportingGateways()).isEqualTo(1);
        assertThat(known(mGatewayB).getServersList()).isEmpty();
        assertThat(mAggregator.isRelayFor(mGatewayA)).isFalse();
        assertThat(mAggregator.isRelayFor(mGatewayB)).isTrue();
    }
}
