package org.jacinthwharf.process.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.NettyEventLoop;
import org.jacinthwharf.process.moves.EvidenceSink.AttemptResult;
import org.jacinthwharf.process.moves.VersionDriver;
import org.jacinthwharf.request.dispatch.BackendServer;
import org.jacinthwharf.request.dispatch.DispatchRequest;
import org.jacinthwharf.request.dispatch.Prompt;
import org.jacinthwharf.request.dispatch.ServerTable;
import org.jacinthwharf.version.EvidenceAggregator;
import org.jacinthwharf.version.LocalVerdict;
import org.jacinthwharf.version.VersionSplit;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.MovePhase;
import org.jacinthwharf.wire.generated.RouteEvidence;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerStatus;
import org.jacinthwharf.wire.generated.VersionMove;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a good version that is taken back since the old one seems to run requests for
 * ever: those that ran at servers of the new version when the order to move came.
 */
final class VersionSelectorTest {
    private static final String OLD = VersionSplit.VERSION_BEFORE_MOVES;

    private final NettyEventLoop mLoop = new NettyEventLoop("test", e -> {});
    private final List<Envelope> mSent = new ArrayList<>();
    private Model mModel = Model.newBuilder().setId("n").setCurrentVersion(OLD).build();

    @AfterEach
    void closeLoop() {
        mLoop.close();
    }

    private VersionDriver driver() {
        EvidenceAggregator aggregator = new EvidenceAggregator(0);
        return new VersionDriver(
                RouterIncarnation.of(VmId.of("g"), 1),
                aggregator,
                new LocalVerdict(aggregator, 1),
                mSent::add,
                Set::of,
                mLoop);
    }

    private static List<String> versions(VersionSelector selector, BackendServer... servers) {
        return selector.allowed(request(), List.of(servers), false).stream()
                .map(BackendServer::version)
                .toList();
    }

    private static VersionMove move(String from, String to, MovePhase phase) {
        return VersionMove.newBuilder()
                .setId("move to " + to)
                .setFromVersion(from)
                .setToVersion(to)
                .setPhase(phase)
                .build();
    }

    // Guards against a version that was rolled back and counts as the old one with the next order.
    @Test
    void versionsThatWereRolledBackStayApartDuringTheNextMove() {
        VersionDriver driver = driver();
        VersionSelector selector = new VersionSelector(s -> Optional.of(mModel), driver);
        mModel =
                mModel.toBuilder()
                        .addRejectedVersions("v2")
                        .addRejectedVersions("v3")
                        .setMove(move(OLD, "v4", MovePhase.CANARY))
                        .build();
        BackendServer[] all = {server("v1"), server("v2"), server("v3"), server("v4")};
        assertThat(versions(selector, all)).containsExactly("v1");
        Optional<PoolId> pool = selector.onAttemptStart(all[1], request());
        selector.onAttemptEnd(pool, request(), AttemptResult.FAILED, 10);
        driver.tick(Configuration.newBuilder().addModels(mModel).build());
        List<RouteEvidence> routes = mSent.get(0).getVersionEvidence().getRoutesList();
        assertThat(routes.stream().map(RouteEvidence::getVersion).toList())
                .containsNoneOf(OLD, "v4");
    }

    @Test
    void versionThatWasRolledBackIsNoChoiceWhereNoneOfTheOldOneIsLeft() {
        VersionSelector selector = new VersionSelector(s -> Optional.of(mModel), driver());
        mModel =
                mModel.toBuilder()
                        .setCurrentVersion("v1")
                        .addRejectedVersions("v2")
                        .setMove(move("v1", "v3", MovePhase.CANARY))
                        .build();
        assertThat(versions(selector, server("v2"), server("v3"), server("v5")))
                .containsExactly("v5");
        assertThat(versions(selector, server("v2"), server("v3"))).isEmpty();
    }

    private static BackendServer server(String version) {
        ServerTable table = new ServerTable();
        ServerRecord record =
                ServerRecord.newBuilder()
                        .setServer("s")
                        .setService("n")
                        .setVersion(version)
                        .setAddress("10.0.0.1:1")
                        .setStatus(ServerStatus.SERVING)
                        .setSlots(6)
                        .build();
        table.update(record, 0, 0);
        return table.find("s").orElseThrow();
    }

    private static DispatchRequest request() {
        return new DispatchRequest(
                "r",
                CustomerId.of("c"),
                "n",
                "route",
                1,
                Prompt.of(ImmutableList.of()),
                0,
                0,
                0,
                500,
                Long.MAX_VALUE);
    }

    @Test
    void attemptThatBeganBeforeMoveEndsForTheVersionThatItBeganFor() {
        VersionDriver driver = driver();
        VersionSelector selector = new VersionSelector(s -> Optional.of(mModel), driver);
        BackendServer newServer = server("v2");
        Optional<PoolId> pool = selector.onAttemptStart(newServer, request());
        mModel =
                mModel.toBuilder()
                        .setMove(
                                VersionMove.newBuilder()
                                        .setId("m")
                                        .setFromVersion(OLD)
                                        .setToVersion("v2")
                                        .setPhase(MovePhase.CANARY))
                        .build();
        selector.onAttemptEnd(pool, request(), AttemptResult.COMPLETE, 10);
        driver.tick(Configuration.newBuilder().addModels(mModel).build());
        List<RouteEvidence> routes = mSent.get(0).getVersionEvidence().getRoutesList();
        assertThat(routes).hasSize(1);
        assertThat(routes.get(0).getVersion()).isEqualTo(OLD);
        assertThat(routes.get(0).getRunning()).isEqualTo(0);
        assertThat(routes.get(0).getRequests()).isEqualTo(1);
    }
}
