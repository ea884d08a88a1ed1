package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.jacinthwharf.process.duty.UsageSource;
import org.jacinthwharf.wire.generated.CapacityOrder;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.ControlSnapshot;
import org.jacinthwharf.wire.generated.DutyGrant;
import org.jacinthwharf.wire.generated.DutySnapshot;
import org.jacinthwharf.wire.generated.ExpectedServer;
import org.jacinthwharf.wire.generated.Hello;
import org.jacinthwharf.wire.generated.RoutingTable;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerScaling;
import org.jacinthwharf.wire.generated.ServerStatus;
import org.jacinthwharf.wire.generated.Service;
import org.jacinthwharf.wire.generated.ServiceDemand;
import org.jacinthwharf.wire.generated.UsageReport;
import org.jacinthwharf.wire.generated.UsageWindow;
import org.junit.jupiter.api.Test;

/** Guards the way from reports, limits and servers to orders, and from orders to gateways. */
final class ServerScalingServiceTest {
    private static final Hello GATEWAY =
            Hello.newBuilder()
                    .setVmId("10.0.0.9")
                    .setIncarnation(1)
                    .setFailureDomain("west")
                    .build();

    private final ManualEventLoop mLoop = new ManualEventLoop();
    private final FakeLink mLink = new FakeLink("10.0.0.9", "gateway");
    private final ControlStateMachine mState = new ControlStateMachine(new InMemoryClaims());
    private final DirectoryService mDirectory = new DirectoryService(l -> true, mLoop);
    private final ServerScalingService mScaling =
            new ServerScalingService(mState, mDirectory, clock(), mLoop, 500, List.of(mLink));

    private UsageSource clock() {
        return new UsageSource() {
            @Override
            public Optional<UsageWindow> ready(long nextWindow) {
                return Optional.empty();
            }

            @Override
            public long fleetMillis() {
                return mLoop.nowMillis();
            }
        };
    }

    private void restore(CapacityOrder... orders) {
        ServerScaling limits =
                ServerScaling.newBuilder()
                        .setMinServers(2)
                        .setMaxServers(9)
                        .setStartSeconds(8)
                        .build();
        RoutingTable routing =
                RoutingTable.newBuilder()
                        .addServices(Service.newBuilder().setName("s").setScaling(limits))
                        .addServices(Service.newBuilder().setName("unlimited"))
                        .build();
        mState.restore(
                ControlSnapshot.newBuilder()
                        .setConfiguration(Configuration.newBuilder().setRouting(routing))
                        .setDuties(
                                DutySnapshot.newBuilder()
                                        .addGrants(
                                                DutyGrant.newBuilder()
                                                        .setDuty("SERVER_SCALING")
                                                        .setToken(1))
                                        .addAllOrders(List.of(orders)))
                        .build()
                        .toByteString());
    }

    private void run(int seconds) {
        for (int i = 0; i < seconds; i++) {
            mLoop.advance(ServerScalingService.TICK);
            long now = mLoop.nowNanos();
            for (String service : List.of("s", "unlimited")) {
                mDirectory.announce(
                        ServerRecord.newBuilder()
                                .setServer(service)
                                .setService(service)
                                .setAddress(service)
                                .setFailureDomain("west")
                                .setSlots(4)
                                .setBornMillis(1)
                                .setSequence(now)
                                .setStatus(ServerStatus.SERVING)
                                .build());
            }
            UsageReport.Builder report = UsageReport.newBuilder().setSequence(now);
            for (String service : List.of("s", "unlimited")) {
                report.addDemands(ServiceDemand.newBuilder().setService(service).setRunning(12));
            }
            mScaling.onReport(GATEWAY, report.build());
            mScaling.wanted(mState.duties().orders());
            mScaling.tick();
        }
    }

    /** A service without limits must not be scaled, and slots of plain services are announced. */
    @Test
    void ordersAreMadeForServicesWithLimitsFromTheSlotsOfTheirServers() {
        restore();
        run(4);
        assertThat(mScaling.wanted(List.of())).isEmpty(); // Not all servers may be known yet.
        run(4);
        List<CapacityOrder> orders = mScaling.wanted(List.of());
        assertThat(orders).hasSize(1);
        assertThat(orders.get(0).getService()).isEqualTo("s");
        assertThat(orders.get(0).getFailureDomain()).isEqualTo("west");
        assertThat(orders.get(0).getServers()).isEqualTo(5); // 12 / (4 * 0.6)
    }

    /** Gateways would send callers away for longer than it takes until the servers are there. */
    @Test
    void gatewaysAreToldOfServersThatAreNotAnnounced() {
        restore(
                CapacityOrder.newBuilder()
                        .setService("s")
                        .setFailureDomain("west")
                        .setServers(6)
                        .setDelivered(true)
                        .setRecordedMillis(mLoop.nowMillis())
                        .build());
        run(3);
        ExpectedServer last =
                mLink.mSent.get(mLink.mSent.size() - 1).getExpectedServers().getServers(0);
        assertThat(last.getServers()).isEqualTo(5);
        assertThat(last.getReadyInMillis()).isEqualTo(5_000);
    }
}
