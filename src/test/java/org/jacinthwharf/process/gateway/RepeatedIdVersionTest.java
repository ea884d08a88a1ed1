package org.jacinthwharf.process.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.NettyEventLoop;
import org.jacinthwharf.process.moves.VersionDriver;
import org.jacinthwharf.request.dispatch.BackendServer;
import org.jacinthwharf.request.dispatch.DispatchRequest;
import org.jacinthwharf.request.dispatch.Prompt;
import org.jacinthwharf.request.dispatch.ServerTable;
import org.jacinthwharf.version.EvidenceAggregator;
import org.jacinthwharf.version.LocalVerdict;
import org.jacinthwharf.version.VersionSplit;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.MovePhase;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerStatus;
import org.jacinthwharf.wire.generated.VersionMove;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a version on trial that gets more than its share, since requests of one id are
 * taken for one request.
 */
final class RepeatedIdVersionTest {
    private static final String OLD = VersionSplit.VERSION_BEFORE_MOVES;
    private static final Model MODEL =
            Model.newBuilder()
                    .setId("n")
                    .setCurrentVersion(OLD)
                    .setMove(
                            VersionMove.newBuilder()
                                    .setId("m")
                                    .setFromVersion(OLD)
                                    .setToVersion("v2")
                                    .setShareBasisPoints(500)
                                    .setPhase(MovePhase.CANARY))
                    .build();

    private final NettyEventLoop mLoop = new NettyEventLoop("test", e -> {});

    @AfterEach
    void closeLoop() {
        mLoop.close();
    }

    private static List<BackendServer> servers() {
        ServerTable table = new ServerTable();
        List<BackendServer> servers = new ArrayList<>();
        for (String version : List.of(OLD, "v2")) {
            ServerRecord record =
                    ServerRecord.newBuilder()
                            .setServer("s-" + version)
                            .setService("n")
                            .setVersion(version)
                            .setAddress("10.0.0.1:" + (servers.size() + 1))
                            .setStatus(ServerStatus.SERVING)
                            .setSlots(6)
                            .build();
            table.update(record, 0, 0);
            servers.add(table.find("s-" + version).orElseThrow());
        }
        return servers;
    }

    private static DispatchRequest request(String id) {
        return new DispatchRequest(
                id,
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

    /** Returns how many of 100 requests go to the version on trial; its bound is 5%. */
    private int countNew(boolean sameId) {
        EvidenceAggregator aggregator = new EvidenceAggregator(0);
        VersionDriver driver =
                new VersionDriver(
                        RouterIncarnation.of(VmId.of("g"), 1),
                        aggregator,
                        new LocalVerdict(aggregator, 1),
                        e -> {},
                        Set::of,
                        mLoop);
        VersionSelector selector = new VersionSelector(s -> Optional.of(MODEL), driver);
        List<BackendServer> servers = servers();
        CallIds calls = new CallIds();
        int count = 0;
        for (int i = 0; i < 100; i++) {
            DispatchRequest request = request(calls.next(sameId ? "same" : "id-" + i));
            BackendServer chosen = selector.allowed(request, servers, false).get(0);
            selector.onAttemptStart(chosen, request);
            count += chosen.version().equals("v2") ? 1 : 0;
        }
        return count;
    }

    @Test
    void requestsWithNewIdsDoNotFloodTheVersionOnTrial() {
        assertThat(countNew(false)).isAtMost(5);
    }

    @Test
    void requestsOfOneIdDoNotFloodTheVersionOnTrial() {
        assertThat(countNew(true)).isAtMost(5);
    }
}
