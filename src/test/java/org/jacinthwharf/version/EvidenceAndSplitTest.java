package org.jacinthwharf.version;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.version.VersionSplit.RouteState;
import org.jacinthwharf.wire.generated.MovePhase;
import org.jacinthwharf.wire.generated.RouteEvidence;
import org.jacinthwharf.wire.generated.VersionEvidence;
import org.jacinthwharf.wire.generated.VersionMove;
import org.junit.jupiter.api.Test;

/** Guards against miscounted evidence and a canary that exceeds its share. */
final class EvidenceAndSplitTest {
    private static final VersionMove CANARY =
            VersionMove.newBuilder()
                    .setId("move-1")
                    .setFromVersion("v1")
                    .setToVersion("v2")
                    .setPhase(MovePhase.CANARY)
                    .setShareBasisPoints(500)
                    .build();

    /** Guards against lost or double counts when reports are lost, duplicated or late. */
    @Property(tries = 100, seed = "817")
    void repeatsLossesLateReportsAndRestartsCountEachRequestOnce(@ForAll long seed) {
        Random random = new Random(seed);
        EvidenceAggregator aggregator = new EvidenceAggregator(0);
        long expected = 0;
        List<VersionEvidence> sent = new ArrayList<>();
        for (int incarnation = 1; incarnation <= 3; incarnation++) {
            long requests = 0;
            for (int sequence = 1; sequence <= 20; sequence++) {
                requests += random.nextInt(10);
                sent.add(report(incarnation, sequence, requests));
                if (sequence == 20 || random.nextInt(3) > 0) {
                    aggregator.record(sent.get(sent.size() - 1), sequence);
                }
                if (random.nextBoolean()) {
                    aggregator.record(sent.get(random.nextInt(sent.size())), sequence);
                }
            }
            aggregator.record(sent.get(sent.size() - 1), 21);
            expected += requests;
        }
        assertThat(aggregator.total("briefing", "v2", Optional.empty()).mRequests)
                .isEqualTo(expected);
    }

    /** Guards against a new leader that evaluates a move by requests from before its own term. */
    @Test
    void countsFromBeforeTheAggregatorAreLeftOut() {
        EvidenceAggregator aggregator = new EvidenceAggregator(10);
        aggregator.record(report(1, 7, 500), 0);
        aggregator.record(report(1, 8, 503), 1);
        assertThat(aggregator.total("briefing", "v2", Optional.of("tags")).mRequests).isEqualTo(3);
    }

    private static VersionEvidence report(long incarnation, long sequence, long requests) {
        return VersionEvidence.newBuilder()
                .setRouter("vm-1")
                .setRouterIncarnation(incarnation)
                .setSequence(sequence)
                .addRoutes(
                        RouteEvidence.newBuilder()
                                .setModel("briefing")
                                .setVersion("v2")
                                .setRoute("tags")
                                .setRequests(requests))
                .build();
    }

    /** Even a run of ids with small hashes must not raise the canary above 5% (G5). */
    @Property(tries = 50, seed = "818")
    void canaryNeverGetsMoreThanFivePercentOfRoute(@ForAll long seed) {
        VersionSplit split = new VersionSplit();
        Random random = new Random(seed);
        RouteState state = new RouteState(false, 6_000, 0, true);
        int taken = 0;
        for (int i = 1; i <= 2_000; i++) {
            RequestId id = RequestId.of("r" + random.nextLong());
            taken += split.choose(id, "tags", CANARY, state).equals("v2") ? 1 : 0;
            assertThat(taken * 20).isAtMost(i);
        }
        assertThat(taken).isGreaterThan(30);
    }

    /** Limits the canary at low rates, where 5% is less than one request (G5). */
    @Test
    void lowRateCanaryGetsOneRequestAtOnceFromOneRouter() {
        VersionSplit split = new VersionSplit();
        RequestId id = RequestId.of("r1");
        assertThat(split.choose(id, "tags", CANARY, new RouteState(false, 5, 0, true)))
                .isEqualTo("v2");
        assertThat(split.choose(id, "tags", CANARY, new RouteState(false, 5, 1, true)))
                .isEqualTo("v1");
        assertThat(split.choose(id, "tags", CANARY, new RouteState(false, 5, 0, false)))
                .isEqualTo("v1");
        assertThat(split.choose(id, "tags", CANARY, new RouteState(true, 5, 0, true)))
                .isEqualTo("v1");
    }
}
