package org.jacinthwharf.version;

import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.InputStream;
import java.util.stream.Stream;
import org.jacinthwharf.version.MoveSimulation.Behaviour;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Replays traces of version moves and compares their end with the expected one of the trace.
 *
 * <p>All traces: 6 routers, 120 requests/s unless stated, deadline after 300 s, 2% errors and 2%
 * slow requests besides the stated faults. The field {@code guards} of a trace states the failure
 * that it guards against.
 */
final class MoveTraceTest {
    private static final int DEADLINE = 300;

    @TestFactory
    Stream<DynamicTest> tracesEndAsStated() throws Exception {
        JsonNode traces;
        try (InputStream in = getClass().getResourceAsStream("/version/moves.json")) {
            traces = new ObjectMapper().readTree(in);
        }
        return traces.valueStream()
                .map(t -> DynamicTest.dynamicTest(t.get("name").asText(), () -> replay(t)));
    }

    private static void replay(JsonNode trace) {
        MoveSimulation simulation =
                new MoveSimulation(
                        1,
                        6,
                        trace.path("requestsPerSecond").asInt(120),
                        DEADLINE,
                        behaviour(trace, "errors"),
                        behaviour(trace, "slow"));
        simulation.mTagsIntervalSeconds = trace.path("tagsIntervalSeconds").asInt(0);
        JsonNode lost = trace.path("leaderLost");
        JsonNode expected = trace.get("expected");
        String guards = trace.get("guards").asText();
        while (simulation.isActive() && simulation.mSecond <= DEADLINE) {
            simulation.mEvidenceLost =
                    simulation.mSecond >= trace.path("evidenceLostFromSecond").asInt(DEADLINE);
            if (simulation.mSecond == lost.path("fromSecond").asInt(-1)) {
                simulation.mLeader = false;
            }
            if (simulation.mSecond == lost.path("toSecond").asInt(-1)) {
                simulation.replaceLeader();
                simulation.mLeader = true;
            }
            simulation.step();
            if (!simulation.mLeader) {
                assertWithMessage(guards)
                        .that(simulation.mModel.getMove().getShareBasisPoints())
                        .isEqualTo(expected.get("frozenShare").asInt());
            }
        }
        assertWithMessage(guards)
                .that(simulation.phase().name())
                .isEqualTo(expected.get("phase").asText());
        assertWithMessage(guards)
                .that(simulation.mModel.getMove().getReason())
                .contains(expected.get("reason").asText());
        assertWithMessage(guards)
                .that(simulation.mSecond)
                .isAtMost(expected.get("bySecond").asInt());
        assertWithMessage(guards)
                .that(simulation.mSecond)
                .isAtLeast(expected.path("notBeforeSecond").asInt(0));
        assertWithMessage(guards)
                .that(simulation.mNewRequests * 100)
                .isAtMost(
                        simulation.mRequests * expected.path("mostNewRequestsPercent").asInt(100));
    }

    private static Behaviour behaviour(JsonNode trace, String kind) {
        return (version, route, second, share) -> {
            for (JsonNode bad : trace.get("bad")) {
                String badVersion = bad.path("version").asText("v2");
                if (bad.get("kind").asText().equals(kind)
                        && (badVersion.equals("both") || badVersion.equals(version))
                        && bad.path("route").asText(route).equals(route)
                        && second >= bad.path("fromSecond").asInt(0)
                        && second < bad.path("toSecond").asInt(Integer.MAX_VALUE)
                        && share >= bad.path("fromShare").asInt(0)) {
                    return bad.get("rate").asDouble();
                }
            }
            return 0.02;
        };
    }
}
