package org.jacinthwharf.process.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.connection.Links;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.settings.NodeSettings;
import org.jacinthwharf.process.settings.NodeSettingsReader;
import org.jacinthwharf.process.settings.SettingsResult;
import org.jacinthwharf.request.admission.ServiceLedger;
import org.jacinthwharf.request.dispatch.FleetRetryBudget;
import org.jacinthwharf.request.dispatch.GatewayRanks;
import org.jacinthwharf.request.dispatch.ServerTable;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.FleetLoad;
import org.jacinthwharf.wire.generated.GatewayLoad;
import org.jacinthwharf.wire.generated.Hello;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a gateway that reports to a frozen control member until its link closes, and
 * against loads that are counted at two members.
 */
final class LoadExchangeTest {
    private static final String SETTINGS =
            "{\"vmId\":\"10.0.0.1\",\"failureDomain\":\"west\",\"region\":\"r\",\"peerPort\":7,"
                    + "\"seeds\":[],\"listen\":{},\"bounds\":{\"announceMillis\":1000,"
                    + "\"stopGraceMillis\":8000,\"retryRatio\":0.2,\"retryWindowSeconds\":10,"
                    + "\"retrySlack\":50}}";

    private final ManualLoop mLoop = new ManualLoop();
    private final FleetMetrics mMetrics = new FleetMetrics();
    private final Links mLinks = new Links(Hello.getDefaultInstance(), mLoop, mMetrics);
    private final ServerTable mServerTable = new ServerTable();
    private final ControlLinks mControlLinks = new ControlLinks(settings(), mLinks, new Ignored());
    private final LoadExchange mExchange =
            new LoadExchange(
                    mServerTable,
                    mControlLinks,
                    new GatewayRanks("10.0.0.1"),
                    new FleetRetryBudget(0.2, 50, 1_000_000_000L),
                    VmId.of("10.0.0.1"),
                    new ServiceLedger("10.0.0.1/1", 1_000_000_000L),
                    mLoop,
                    new GatewayActivity(mMetrics, 0));
    private final Member mFirst = new Member("10.0.0.2");
    private final Member mSecond = new Member("10.0.0.3");
    private int mReports;

    /** Answers nothing by itself; records the reports that it was sent. */
    private static final class Member implements Link {
        final List<GatewayLoad> mReceived = new ArrayList<>();
        private final VmId mId;

        Member(String id) {
            mId = VmId.of(id);
        }

        @Override
        public Hello peer() {
            return Hello.newBuilder().setVmId(mId.value()).build();
        }

        @Override
        public boolean send(Envelope message) {
            return mReceived.add(message.getGatewayLoad());
        }

        @Override
        public void close() {}

        GatewayLoad last() {
            return mReceived.get(mReceived.size() - 1);
        }
    }

    private static final class Ignored implements ControlLinks.Listener {
        @Override
        public void onUp(VmId member) {}

        @Override
        public void onDown(VmId member) {}

        @Override
        public void onMessage(VmId member, Envelope message) {}
    }

    private static final class ManualLoop implements EventLoop {
        long mNanos = 1;

        @Override
        public void execute(Runnable task) {
            task.run();
        }

        @Override
        public void schedule(Duration delay, Runnable task) {}

        @Override
        public void scheduleRepeatedly(Duration period, Runnable task) {}

        @Override
        public long nowNanos() {
            return mNanos;
        }

        @Override
        public long nowMillis() {
            return mNanos / 1_000_000;
        }
    }

    private static NodeSettings settings() {
        var result = new NodeSettingsReader().read("f", SETTINGS.getBytes(StandardCharsets.UTF_8));
        return ((SettingsResult.Valid<NodeSettings>) result).settings();
    }

    LoadExchangeTest() {
        ServerRecord record =
                ServerRecord.newBuilder()
                        .setServer("e0")
                        .setService("s")
                        .setAddress("10.0.1.1:80")
                        .build();
        mServerTable.update(record, 0, 0);
        mControlLinks.onUp(mFirst);
        mControlLinks.onUp(mSecond);
    }

    @AfterEach
    void close() {
        mLinks.close();
    }

    /** Lets time pass, with something to report at each tick. */
    private void run(long millis, boolean firstAnswers) {
        for (long t = 0; t < millis; t += 20) {
            mLoop.mNanos += 20_000_000L;
            mExchange.onRateLimit(
                    mServerTable.find("e0").orElseThrow(), OptionalDouble.of(++mReports));
            mExchange.tick();
            if (firstAnswers) {
                answer(mFirst);
            }
        }
    }

    private void answer(Member member) {
        mExchange.onFleetLoad(
                member.mId,
                FleetLoad.newBuilder().setReceivedSequence(member.last().getSequence()).build());
    }

    @Test
    void gatewayReportsToAnotherMemberWhileTheRelayIsSilent() {
        run(1_000, true);
        assertThat(mSecond.mReceived).isEmpty();

        run(400, false);
        assertThat(mControlLinks.relay()).isEqualTo(Optional.of(mSecond.mId));
        assertThat(mSecond.mReceived).isNotEmpty();

        int toFirst = mFirst.mReceived.size();
        run(400, false);
        assertThat(mFirst.mReceived.size()).isGreaterThan(toFirst);
        assertThat(mFirst.last().getWithdrawn()).isFalse();
    }

    @Test
    void gatewayReturnsToTheRelayThatAnswersAndWithdrawsItsLoadElsewhere() {
        run(400, false);
        answer(mFirst);
        run(40, true);
        assertThat(mControlLinks.relay()).isEqualTo(Optional.of(mFirst.mId));
        assertThat(mSecond.last().getWithdrawn()).isTrue();
        int toSecond = mSecond.mReceived.size();
        run(400, true);
        assertThat(mSecond.mReceived).hasSize(toSecond);
    }

    @Test
    void loadOfFewGatewaysIsNotTakenForThatOfAll() {
        FleetLoadView view = new FleetLoadView();
        FleetLoad.Builder load = FleetLoad.newBuilder().addAllGateways(List.of("a", "b", "c"));
        view.apply(load.setReportingGateways(1).build());
        assertThat(view.isReportedByMost()).isFalse();
        view.apply(load.setReportingGateways(3).build());
        assertThat(view.isReportedByMost()).isTrue();
        view.apply(load.clearReportingGateways().build());
        assertThat(view.isReportedByMost()).isFalse();
    }
}
