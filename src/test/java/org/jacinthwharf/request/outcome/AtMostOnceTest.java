package org.jacinthwharf.request.outcome;

import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.InputStream;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Guards against two executions of one request key and a false "not run" (G7, G8). */
final class AtMostOnceTest {
    private static final List<String> CALLS = List.of("a", "b", "c");

    /** Frequencies at which most scripts would execute two calls if nothing prevented it. */
    private static final Map<String, Integer> STEP_FREQUENCIES =
            Map.ofEntries(
                    Map.entry("arrive", 20),
                    Map.entry("claim", 40),
                    Map.entry("poll", 20),
                    Map.entry("send", 40),
                    Map.entry("reach", 40),
                    Map.entry("execute", 40),
                    Map.entry("end", 15),
                    Map.entry("answer", 10),
                    Map.entry("notRun", 3),
                    Map.entry("connectFailed", 3),
                    Map.entry("claimReplyLost", 3),
                    Map.entry("claimLate", 3),
                    Map.entry("restoreControl", 3),
                    Map.entry("closed", 2),
                    Map.entry("silent", 2),
                    Map.entry("claimUnavailable", 1),
                    Map.entry("deadline", 1),
                    Map.entry("tableDeadline", 1),
                    Map.entry("kill", 1));

    /** Replays recorded traces, which state the number of executions and each caller's outcome. */
    @TestFactory
    Stream<DynamicTest> tracesRunTheCallAtMostOnceWithTheStatedOutcomes() throws Exception {
        JsonNode traces;
        try (InputStream in = getClass().getResourceAsStream("call-traces.json")) {
            traces = new ObjectMapper().readTree(in);
        }
        return traces.valueStream()
                .map(t -> DynamicTest.dynamicTest(t.get("name").asText(), () -> replay(t)));
    }

    private static void replay(JsonNode trace) {
        CallSimulation simulation = new CallSimulation();
        for (JsonNode step : trace.get("steps")) {
            String[] parts = step.asText().split(" ", 2);
            simulation.step(parts[0], parts[1]);
            assertInvariants(simulation, trace.get("steps").toString());
        }
        assertWithMessage("executions")
                .that(simulation.executions())
                .isEqualTo(trace.get("executions").asInt());
        for (Map.Entry<String, JsonNode> o : trace.get("outcomes").properties()) {
            assertWithMessage("outcome of %s", o.getKey())
                    .that(simulation.outcome(o.getKey()).map(AtMostOnceTest::text).orElse("none"))
                    .isEqualTo(o.getValue().asText());
        }
    }

    /** Interleaves lost replies, late events, kills, deadlines and control restarts at random. */
    @Property(seed = "20260411", tries = 2_000)
    void noInterleavingRunsTwiceOrDeniesAnExecution(@ForAll("scripts") List<String> script) {
        CallSimulation simulation = new CallSimulation();
        for (String s : script) {
            String[] parts = s.split(" ", 2);
            simulation.step(parts[0], parts[1]);
            assertInvariants(simulation, script.toString());
        }
    }

    @Provide
    Arbitrary<List<String>> scripts() {
        List<Tuple.Tuple2<Integer, String>> weighted =
                STEP_FREQUENCIES.entrySet().stream()
                        .sorted(Map.Entry.comparingByKey())
                        .map(e -> Tuple.of(e.getValue(), e.getKey()))
                        .toList();
        return Arbitraries.of(CALLS)
                .flatMap(c -> Arbitraries.frequency(weighted).map(s -> c + " " + s))
                .list()
                .ofMinSize(100)
                .ofMaxSize(250);
    }

    private static void assertInvariants(CallSimulation simulation, String script) {
        assertWithMessage("executions in %s", script).that(simulation.executions()).isAtMost(1);
        for (String c : CALLS) {
            boolean reportedNotRun =
                    simulation
                            .outcome(c)
                            .filter(RequestOutcome.NotRun.class::isInstance)
                            .isPresent();
            assertWithMessage("%s ran although it was reported as not run in %s", c, script)
                    .that(reportedNotRun && simulation.isRun(c))
                    .isFalse();
        }
    }

    private static String text(RequestOutcome outcome) {
        if (outcome instanceof RequestOutcome.NotRun n) {
            return "not_run " + n.reason().code();
        }
        if (outcome instanceof RequestOutcome.Unknown u) {
            return "unknown " + u.reason().code();
        }
        return outcome instanceof RequestOutcome.Answer ? "answer" : "earlier_answer";
    }
}
