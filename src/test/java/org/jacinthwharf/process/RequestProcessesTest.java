package org.jacinthwharf.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards requests (G3, G7, G8) against killed, suspended and partitioned router processes. */
final class RequestProcessesTest {
    private static final List<String> ROUTERS = List.of("r1", "r2");
    private static final long NEVER_WARM_MILLIS = 3_600_000;

    @TempDir private static Path sFolder;
    private static ProcessFleet sFleet;

    @BeforeAll
    static void startFleet() throws Exception {
        sFleet =
                new ProcessFleet(
                        sFolder,
                        List.of("solola", "totonicapan", "solola"),
                        List.of("solola", "solola", "totonicapan"));
        sFleet.addServer("portal", "solola", "booking", 4, 16, 0, 100);
        sFleet.addServer("cold-engine", "solola", "granite", 2, 8, NEVER_WARM_MILLIS, 20);
    }

    @AfterAll
    static void endFleet() throws Exception {
        sFleet.close();
    }

    /** Guards against a second execution when a caller sends a key through two routers at once. */
    @Test
    void keySentThroughTwoRoutersAtOnceRunsOnce() {
        List<CompletableFuture<ApiClient.Answer>> answers = new ArrayList<>();
        int keys = 20;
        for (int i = 0; i < keys; i++) {
            for (String r : ROUTERS) {
                answers.add(ApiClient.confirm(sFleet.http(r), "twice-" + i, "", 20_000));
            }
        }
        for (int i = 0; i < answers.size(); i++) {
            ApiClient.Answer answer = answers.get(i).join();
            String key = "twice-" + i / ROUTERS.size();
            assertWithMessage("answer to %s: %s", key, answer).that(answer.status()).isEqualTo(200);
        }
        for (int i = 0; i < keys; i++) {
            assertWithMessage("executions of twice-%s", i)
                    .that(sFleet.executions("portal", "twice-" + i))
                    .isEqualTo(1);
        }
    }

    /**
     * Guards against a second execution, or a false "not run", after the claiming router crashed.
     */
    @Test
    void keyOfKilledRouterIsNeverRunAgainNorCalledNotRun() throws Exception {
        String query = "?fault=hang";
        CompletableFuture<ApiClient.Answer> first =
                ApiClient.confirm(sFleet.http("r1"), "orphan", query, 4_000);
        ProcessFleet.await("the call runs", () -> sFleet.executions("portal", "orphan") == 1);
        sFleet.process("r1").kill();
        assertThat(first.join().status()).isEqualTo(0);
        List<ApiClient.Answer> answers = new ArrayList<>();
        ProcessFleet.await(
                "the key ends as unknown",
                () -> {
                    ApiClient.Answer answer =
                            ApiClient.confirm(sFleet.http("r2"), "orphan", query, 2_000).join();
                    answers.add(answer);
                    return answer.body().contains("outcome_unknown");
                });
        sFleet.process("r1").start();
        ProcessFleet.await("r1 is ready", () -> sFleet.isReady("r1"));
        answers.add(ApiClient.confirm(sFleet.http("r1"), "orphan", query, 2_000).join());
        for (ApiClient.Answer answer : answers) {
            assertWithMessage("%s", answer).that(answer.outcome()).isEqualTo("unknown");
        }
        assertThat(sFleet.executions("portal", "orphan")).isEqualTo(1);
        sFleet.awaitRevision();
    }

    /** Guards against a new owner that does not count requests granted by the previous owner. */
    @Test
    void coldLimitHoldsWhileTheOwnerIsKilledFrozenAndCutOff() throws Exception {
        // A request takes 1.5 s, so those of the previous owner still run when the new one grants.
        int tokens = 75;
        try (BackgroundLoad load =
                new BackgroundLoad(
                        24,
                        i ->
                                ApiClient.generate(
                                                sFleet.http(ROUTERS.get(i % ROUTERS.size())),
                                                "altiplano",
                                                "prompt " + i,
                                                tokens,
                                                false,
                                                "")
                                        .join())) {
            awaitProgress();

            String owner = sFleet.ownerOf("cold-engine");
            sFleet.process(owner).kill();
            ProcessFleet.await(
                    "the other router owns the server",
                    () -> sFleet.status(otherRouter(owner)).path("backendServers").size() > 1);
            awaitProgress();
            sFleet.process(owner).start();
            sFleet.awaitRevision();
            awaitProgress();

            String suspended = sFleet.ownerOf("cold-engine");
            sFleet.process(suspended).suspend();
            ProcessFleet.await(
                    "the other router's view is without the suspended one",
                    () ->
                            sFleet.status(otherRouter(suspended))
                                            .path("view")
                                            .path("members")
                                            .size()
                                    == 1);
            awaitProgress();
            sFleet.process(suspended).resume();
            awaitTwoMembers();
            awaitProgress();

            String isolated = sFleet.ownerOf("cold-engine");
            sFleet.relay(isolated, otherRouter(isolated)).partition();
            sFleet.relay(otherRouter(isolated), isolated).partition();
            ProcessFleet.await(
                    "a view has one member",
                    () ->
                            ROUTERS.stream()
                                    .anyMatch(
                                            r ->
                                                    sFleet.status(r)
                                                                    .path("view")
                                                                    .path("members")
                                                                    .size()
                                                            == 1));
            awaitProgress();
            sFleet.healPartitions();
            awaitTwoMembers();
            awaitProgress();
        }
        assertThat(sFleet.stats("cold-engine").path("state").asText()).isEqualTo("cold");
        assertThat(sFleet.stats("cold-engine").path("mostRunningCold").asInt()).isAtMost(2);
    }

    private static String otherRouter(String router) {
        return router.equals("r1") ? "r2" : "r1";
    }

    private static void awaitTwoMembers() {
        ProcessFleet.await(
                "both routers have one view with both",
                () ->
                        ROUTERS.stream()
                                .allMatch(
                                        r ->
                                                sFleet.status(r).path("view").path("members").size()
                                                        == 2));
    }

    /** Waits until the cold server has started as many new requests as it runs concurrently. */
    private static void awaitProgress() {
        long before = sFleet.stats("cold-engine").path("requests").asLong();
        ProcessFleet.await(
                "the cold server gets new requests",
                () -> sFleet.stats("cold-engine").path("requests").asLong() >= before + 2);
    }
}
