package org.jacinthwharf.process.membership;

import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.wire.generated.ServerAnnouncement;
import org.jacinthwharf.wire.generated.ServerState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards G3, G4 and G9 against announcements that stop, repeat, arrive late or are malformed, and
 * against a failure domain that is taken out of service and returned.
 */
final class ServerRegistryTest {
    private static final BackendServerId SERVER = BackendServerId.of("engine-1");

    static Stream<JsonNode> traces() throws java.io.IOException {
        try (var in = ServerRegistryTest.class.getResourceAsStream("/traces/announcements.json")) {
            return StreamSupport.stream(new ObjectMapper().readTree(in).spliterator(), false);
        }
    }

    @ParameterizedTest
    @MethodSource("traces")
    void traceYieldsExpectedEventsAndState(JsonNode trace) {
        String name = trace.get("name").asText();
        ServerRegistry registry = new ServerRegistry(FailureDomainId.of("solola"));
        for (JsonNode step : trace.get("steps")) {
            assertWithMessage("%s: %s", name, step)
                    .that(apply(registry, step))
                    .isEqualTo(step.get("expect").asText());
        }
        assertWithMessage(name)
                .that(registry.isEligibleForWork(SERVER))
                .isEqualTo(trace.get("mayGetWork").asBoolean());
        if (trace.has("cold")) {
            RegisteredServer server = registry.servers().get(SERVER);
            assertWithMessage(name).that(server.cold()).isEqualTo(trace.get("cold").asBoolean());
            assertWithMessage(name).that(server.limit()).isEqualTo(server.cold() ? 1 : 8);
        }
    }

    private static String apply(ServerRegistry registry, JsonNode step) {
        long now = step.get("ms").asLong() * 1_000_000;
        if (step.has("tick")) {
            return names(registry.onTick(now));
        }
        if (step.has("out")) {
            return names(registry.setOutOfService(step.get("out").asBoolean()));
        }
        if (step.has("connection")) {
            return names(
                    step.get("connection").asBoolean()
                            ? registry.onConnectionSucceeded(SERVER)
                            : registry.onConnectionFailed(SERVER));
        }
        AnnounceOutcome outcome =
                registry.onAnnouncement(
                        ServerAnnouncement.newBuilder()
                                .setServer(SERVER.value())
                                .setFailureDomain("solola")
                                .setIncarnation(step.get("incarnation").asLong())
                                .setSequence(step.get("sequence").asLong())
                                .setAddress(step.path("address").asText("10.0.0.5:8080"))
                                .setModel("briefing")
                                .setVersion("v1")
                                .setState(ServerState.valueOf(step.get("state").asText()))
                                .setColdLimit(step.path("coldLimit").asInt(1))
                                .setWarmLimit(8)
                                .build(),
                        now);
        return outcome instanceof AnnounceOutcome.Accepted accepted
                ? names(accepted.events())
                : outcome.getClass().getSimpleName();
    }

    private static String names(List<RegistryEvent> events) {
        return events.stream()
                .map(event -> event.getClass().getSimpleName())
                .collect(Collectors.joining(","));
    }
}
