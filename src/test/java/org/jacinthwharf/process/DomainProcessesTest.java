package org.jacinthwharf.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jacinthwharf.standin.StandInText;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards availability (G4, G6, G9, G10) while domains, servers, routers and connections fail. */
final class DomainProcessesTest {
    private static final List<String> ROUTERS = List.of("r1", "r2", "r3", "r4");
    // Guaranteed in section 1.1 of docs/design.md: no new work is sent after this time.
    private static final Duration MAX_TIME_TO_NO_NEW_WORK = Duration.ofSeconds(3);
    // The cold limit is guaranteed for what the owner admits once it knows that the server is cold,
    // and a grant that it made before may be used for this time (section 3.1).
    private static final Duration MAX_GRANT_USE = Duration.ofSeconds(1);
    private static final int COLD_LIMIT = 1;
    private static final int WARM_LIMIT = 6;

    @TempDir private static Path sFolder;
    private static ProcessFleet sFleet;

    @BeforeAll
    static void startFleet() throws Exception {
        List<String> control = List.of("solola", "totonicapan", "totonicapan");
        List<String> routers = List.of("solola", "solola", "totonicapan", "totonicapan");
        sFleet = new ProcessFleet(sFolder, control, routers);
        for (String domain : List.of("solola", "totonicapan")) {
            sFleet.addServer("engine-" + domain, domain, "granite", COLD_LIMIT, WARM_LIMIT, 0, 20);
            sFleet.addServer("portal-" + domain, domain, "booking", 2, 8, 0, 20);
        }
    }

    @AfterAll
    static void endFleet() throws Exception {
        sFleet.close();
    }

    /** Guards against new work for a failure domain that was taken out of service (G4). */
    @Test
    void failureDomainThatIsOutGetsNoNewWorkAndNoRequestFails() throws Exception {
        try (BackgroundLoad load = load()) {
            awaitWork("engine-solola");
            setOutOfService(true);
            awaitNoNewWork("engine-solola", load);
            assertThat(sFleet.isReady("r1")).isFalse();
            assertThat(sFleet.isReady("r3")).isTrue();
            setOutOfService(false);
            awaitWork("engine-solola");
            assertThat(load.failures()).isEmpty();
        }
        ProcessFleet.await("r1 is ready", () -> sFleet.isReady("r1"));
    }

    /** Guards against new work for a leaving server (G9) or above a cold limit (G3). */
    @Test
    void leavingServerGetsNoNewWorkAndOneThatTurnsColdGetsLittle() throws Exception {
        try (BackgroundLoad load = load()) {
            awaitWork("engine-solola");
            sFleet.setState("engine-solola", "leaving");
            awaitNoNewWork("engine-solola", load);
            sFleet.setState("engine-solola", "warm");
            awaitWork("engine-solola");
            ProcessFleet.await("more than the cold limit runs", () -> running() > COLD_LIMIT);

            sFleet.setState("engine-solola", "cold");
            ProcessFleet.await("the owner knows that the server is cold", () -> isKnownCold());
            awaitEnd(MAX_GRANT_USE, "the grants for the warm server have expired");
            ProcessFleet.await("at most the cold limit runs", () -> running() <= COLD_LIMIT);
            long before = sFleet.requests("engine-solola");
            int[] peak = {0};
            ProcessFleet.await(
                    "the cold server gets work",
                    () -> {
                        peak[0] = Math.max(peak[0], running());
                        return sFleet.requests("engine-solola") >= before + 5;
                    });
            assertThat(peak[0]).isAtMost(COLD_LIMIT);
            sFleet.setState("engine-solola", "warm");
            assertThat(load.failures()).isEmpty();
        }
    }

    /** Guards against requests interrupted by a planned stop (G10). */
    @Test
    void plannedStopUnderStreamsCutsNoRequestAndTurnsReadinessOffFirst() throws Exception {
        try (BackgroundLoad load =
                new BackgroundLoad(
                        8,
                        i -> {
                            String router = sFleet.isReady("r2") ? "r2" : "r1";
                            return requireComplete(
                                    stream(router, "stop " + i, 60, ""), "stop " + i, 60);
                        })) {
            ProcessFleet.await("streams run", () -> openRequests("r2") >= 4);
            sFleet.process("r2").terminate();
            ProcessFleet.await("readiness is off", () -> !sFleet.isReady("r2"));
            ApiClient.Answer late = stream("r2", "late", 2, "").join();
            assertWithMessage("%s", late).that(late.status()).isEqualTo(200);
            assertThat(sFleet.process("r2").awaitExit(30)).isTrue();
            long before = load.succeeded();
            ProcessFleet.await("requests go on", () -> load.succeeded() > before + 8);
            assertThat(load.failures()).isEmpty();
        }
        sFleet.process("r2").start();
        sFleet.awaitRevision();
    }

    /** Guards against a partitioned domain that stops serving, or confirms without a majority. */
    @Test
    void cutOffFailureDomainServesAndRefusesKeyedCallsAndAppliesTheOrderLater() throws Exception {
        sFleet.isolate("solola");
        ProcessFleet.await("r1 has no claims", () -> confirm("cut-probe").status() == 503);
        ApiClient.Answer keyed = confirm("cut-key");
        assertWithMessage("%s", keyed).that(keyed.body()).contains("claim_unavailable");
        assertThat(keyed.outcome()).isEqualTo("not_run");
        for (String portal : List.of("portal-solola", "portal-totonicapan")) {
            assertThat(sFleet.executions(portal, "cut-key")).isEqualTo(0);
        }
        for (String router : List.of("r1", "r2", "r3")) {
            ApiClient.Answer answer = stream(router, "cut", 5, "").join();
            assertWithMessage("%s: %s", router, answer).that(answer.status()).isEqualTo(200);
        }

        long revision =
                sFleet.applyChange("/v1/failure-domains/solola", "{\"out\":true}", "c2", "c3");
        ProcessFleet.await(
                "r3 has the order",
                () -> sFleet.status("r3").path("revision").asLong() >= revision);
        assertThat(failureDomainState()).isEqualTo("pending");
        assertThat(sFleet.isReady("r1")).isTrue();
        sFleet.healPartitions();
        ProcessFleet.await("the order is in force", () -> failureDomainState().equals("in force"));
        assertThat(sFleet.isReady("r1")).isFalse();
        setOutOfService(false);
        ProcessFleet.await("r1 is ready", () -> sFleet.isReady("r1"));
        // The members' views, and with them the owners, are the same as before the partition.
        sFleet.awaitRevision();
        ProcessFleet.await("claims work", () -> confirm("after-cut").status() == 200);
    }

    /** Guards against truncated streams, and suspecting a server because of one lost connection. */
    @Test
    void streamCutOrStalledInTheMiddleReachesTheCallerWhole() throws Exception {
        ApiClient.Answer cut = requireComplete(stream("r1", "cut", 20, "?fault=cut:5"), "cut", 20);
        assertWithMessage("%s", cut).that(cut.status()).isEqualTo(200);

        long silentServers = sFleet.counterSum("r1", "server_silent");
        CompletableFuture<ApiClient.Answer> stalled = stream("r1", "stall", 150, "");
        ProcessFleet.await("the stream runs", () -> running() > 0);
        sFleet.relayTo("engine-solola").stallOpenConnections();
        ApiClient.Answer answer = requireComplete(stalled, "stall", 150);
        sFleet.relayTo("engine-solola").heal();
        assertWithMessage("%s", answer).that(answer.status()).isEqualTo(200);
        assertThat(sFleet.counterSum("r1", "connection_silent")).isAtLeast(1);
        assertThat(sFleet.counterSum("r1", "server_silent")).isEqualTo(silentServers);
    }

    private static BackgroundLoad load() {
        return new BackgroundLoad(
                20,
                i -> {
                    String router = sFleet.http(ROUTERS.get(i % ROUTERS.size()));
                    return ApiClient.generate(router, "counter", "load " + i, 15, false, "").join();
                });
    }

    private static CompletableFuture<ApiClient.Answer> stream(
            String router, String prompt, int tokens, String query) {
        return ApiClient.generate(sFleet.http(router), "counter", prompt, tokens, true, query);
    }

    /**
     * Returns the response, with status 0 if the stream is not the complete answer to the prompt.
     */
    private static ApiClient.Answer requireComplete(
            CompletableFuture<ApiClient.Answer> stream, String prompt, int tokens) {
        ApiClient.Answer answer = stream.join();
        StringBuilder text = new StringBuilder();
        boolean ended = false;
        try {
            for (String line : answer.body().split("\n")) {
                ended |= line.equals("event: end");
                if (line.startsWith("data: ") && !ended) {
                    text.append(ApiClient.JSON.readTree(line.substring(6)).path("text").asText());
                }
            }
        } catch (IOException e) {
            return new ApiClient.Answer(0, "", answer.body());
        }
        boolean complete = ended && text.toString().equals(StandInText.answer(prompt, tokens));
        return complete
                ? answer
                : new ApiClient.Answer(0, "status " + answer.status(), answer.body());
    }

    private static ApiClient.Answer confirm(String key) {
        return ApiClient.confirm(sFleet.http("r1"), key, "", 5_000).join();
    }

    private static void setOutOfService(boolean out) throws IOException {
        sFleet.applyChange("/v1/failure-domains/solola", "{\"out\":" + out + "}");
    }

    private static String failureDomainState() {
        for (JsonNode d : sFleet.controlStatus(sFleet.leader()).path("failureDomains")) {
            if (d.path("id").asText().equals("solola")) {
                return d.path("state").asText();
            }
        }
        return "";
    }

    private static int running() {
        return sFleet.stats("engine-solola").path("running").asInt();
    }

    private static int openRequests(String router) {
        return sFleet.status(router).path("openRequests").asInt();
    }

    private static void awaitWork(String server) {
        long before = sFleet.requests(server);
        ProcessFleet.await(server + " gets work", () -> sFleet.requests(server) >= before + 10);
    }

    /** Returns whether a router has registered an announcement of the server as cold. */
    private static boolean isKnownCold() {
        for (String router : ROUTERS) {
            for (JsonNode s : sFleet.status(router).path("backendServers")) {
                if (s.path("id").asText().equals("engine-solola")
                        && s.path("state").asText().equals("cold")) {
                    return true;
                }
            }
        }
        return false;
    }

    private static void awaitEnd(Duration time, String what) {
        long since = System.nanoTime();
        ProcessFleet.await(what, () -> System.nanoTime() - since >= time.toNanos());
    }

    /** Checks after the guaranteed time that the server gets no work while other servers do. */
    private static void awaitNoNewWork(String server, BackgroundLoad load) {
        awaitEnd(MAX_TIME_TO_NO_NEW_WORK, "the guaranteed time is over");
        long requests = sFleet.requests(server);
        long before = load.succeeded();
        ProcessFleet.await("requests go on elsewhere", () -> load.succeeded() >= before + 60);
        assertThat(sFleet.requests(server)).isEqualTo(requests);
    }
}
