package org.jacinthwharf.request.admission;

import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.wire.generated.ServerState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays small traces and compares the starts and refusals, in order, with the outcomes recorded
 * in the trace. Guards against changed decisions that the property tests permit.
 */
final class RecordedTraceTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "smallest-counter-first",
                "turns-cold-and-warm",
                "deadline-and-queue",
                "new-incarnation"
            })
    void traceHasItsRecordedOutcomes(String name) throws IOException {
        JsonNode trace;
        try (InputStream in = getClass().getResourceAsStream("/admission/" + name + ".json")) {
            trace = new ObjectMapper().readTree(in);
        }
        Fleet fleet = new Fleet(1, trace.get("routers").asInt());
        fleet.mMaxDelayNanos = Fleet.MILLI;
        JsonNode server = trace.get("server");
        fleet.addServer(
                "s",
                ServerState.valueOf(server.get("state").asText()),
                server.get("coldLimit").asInt(),
                server.get("warmLimit").asInt(),
                0);
        long start = fleet.mNow;
        for (JsonNode event : trace.get("events")) {
            fleet.runFor(start + event.get("atMs").asLong() * Fleet.MILLI - fleet.mNow);
            apply(fleet, event);
        }
        fleet.runFor(trace.get("thenMs").asLong() * Fleet.MILLI);
        List<String> expected = new ArrayList<>();
        trace.get("outcomes").forEach(outcome -> expected.add(outcome.asText()));
        assertWithMessage(trace.get("guards").asText())
                .that(fleet.mOutcomes)
                .containsExactlyElementsIn(expected)
                .inOrder();
    }

    private static void apply(Fleet fleet, JsonNode event) {
        FleetServer server = fleet.mServers.get(BackendServerId.of("s"));
        switch (event.get("event").asText()) {
            case "offer" ->
                    fleet.router(event.get("router").asInt())
                            .offer(
                                    CustomerId.of(event.get("customer").asText()),
                                    new Fleet.Job(
                                            event.get("name").asText(),
                                            event.get("cost").asDouble()),
                                    OptionalDouble.empty(),
                                    event.path("timeoutMs").asLong(100_000) * Fleet.MILLI);
            case "state" -> server.set(ServerState.valueOf(event.get("state").asText()));
            case "restart" -> server.restart();
            default -> throw new IllegalArgumentException(event.toString());
        }
    }
}
