package org.jacinthwharf.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards version moves (G5) end to end, from the evidence of requests to the reported result. */
final class VersionMoveProcessesTest {
    // Guaranteed in section 1.1 of docs/design.md; the errors of this test are immediate.
    private static final Duration MAX_TIME_TO_NO_TRAFFIC = Duration.ofSeconds(3);
    private static final int DEADLINE_MS = 25_000;

    @TempDir private static Path sFolder;
    private static ProcessFleet sFleet;

    @BeforeAll
    static void startFleet() throws Exception {
        sFleet = new ProcessFleet(sFolder, List.of("fsd-a"), List.of("fsd-a"));
        addEngine("v1-engine", "v1", 0);
        addEngine("bad-engine", "v2", 60);
    }

    private static void addEngine(String id, String version, int errorPercent) throws Exception {
        sFleet.addServer(id, "fsd-a", "granite", version, 2, 16, 0, 4, errorPercent);
    }

    @AfterAll
    static void endFleet() throws Exception {
        sFleet.close();
    }

    /** Guards against a bad version that gets too much traffic, or is not rolled back. */
    @Test
    void badVersionGetsItsShareAtMostAndIsTakenBack() throws Exception {
        try (BackgroundLoad load =
                new BackgroundLoad(
                        12,
                        i ->
                                ApiClient.generate(
                                                sFleet.http("r1"),
                                                "counter",
                                                "move " + i,
                                                5,
                                                false,
                                                "")
                                        .join())) {
            ProcessFleet.await("the old version has traffic", () -> load.succeeded() > 500);
            long oldBefore = sFleet.requests("v1-engine");
            startMove("v2");
            ProcessFleet.await("the bad version has traffic", () -> requestsOf("bad-engine") > 0);
            awaitPhase("rolled_back");
            long since = System.nanoTime();
            ProcessFleet.await(
                    "the guaranteed time is over",
                    () -> System.nanoTime() - since >= MAX_TIME_TO_NO_TRAFFIC.toNanos());
            long bad = requestsOf("bad-engine");
            long old = sFleet.requests("v1-engine") - oldBefore;
            assertWithMessage("bad %s, old %s", bad, old).that(bad * 20).isAtMost(bad + old);
            long before = load.succeeded();
            ProcessFleet.await("requests go on", () -> load.succeeded() > before + 200);
            assertThat(requestsOf("bad-engine")).isEqualTo(bad);

            assertThat(load.failures()).isEmpty();
        }
    }

    private static long requestsOf(String server) {
        return sFleet.requests(server);
    }

    private static void startMove(String version) throws IOException {
        sFleet.applyChange(
                "/v1/moves",
                ApiClient.JSON
                        .createObjectNode()
                        .put("model", "granite")
                        .put("toVersion", version)
                        .put("deadlineMillis", System.currentTimeMillis() + DEADLINE_MS)
                        .toString());
    }

    private static void awaitPhase(String phase) {
        ProcessFleet.await(
                "the move is " + phase,
                () -> {
                    JsonNode moves = sFleet.controlStatus("c1").path("moves");
                    return moves.path(0).path("phase").asText().endsWith(phase);
                });
    }
}
