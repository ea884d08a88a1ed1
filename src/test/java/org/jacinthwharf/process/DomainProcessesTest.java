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

/** Guards service (G4, G6, G9, G10) while domains, servers, routers and connections go away. */
final class DomainProcessesTest {
    private static final List<String> ROUTERS = List.of("r1", "r2", "r3", "r4");
    // From section 1.1 of docs/design.md: time after which nothing new is sent.
    private static final Duration NO_NEW_WORK_AFTER = Duration.ofSeconds(3);
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

    /** Guards against work that is still sent to a failure domain that was taken out (G4). */
    @Test
    void failureDomainThatIsOutGetsNoNewWorkAndNoRequestFails() throws Exception {
        try (LoadOfCalls load = load()) {
            awaitWork("engine-solola");
            order(true);
            awaitNoNewWork("engine-solola", load);
            assertThat(sFleet.isReady("r1")).isFalse();
            assertThat(sFleet.isReady("r3")).isTrue();
            order(false);
            awaitWork("engine-solola");
            assertThat(load.failures()).isEmpty();
        }
        ProcessFleet.await("r1 is ready", () -> sFleet.isReady("r1"));
    }

    /** Guards against work that is still sent to a leaving (G9) or above a cold limit (G3). */
    @Test
    void leavingServerGetsNoNewWorkAndOneThatTurnsColdGetsLittle() throws Exception {
        try (LoadOfCalls load = load()) {
            awaitWork("engine-solola");
            sFleet.setState("engine-solola", "leaving");
            awaitNoNewWork("engine-solola", load);
            sFleet.setState("engine-solola", "warm");
            awaitWork("engine-solola");
            ProcessFleet.await("more than the cold limit runs", () -> running() > COLD_LIMIT);

            sFleet.setState("engine-solola", "cold");
            ProcessFleet.await("at most the cold limit runs", () -> running() <= COLD_LIMIT);
            long before = sFleet.requests("engine-solola");
            int[] most = {0};
            ProcessFleet.await(
                    "the cold server gets work",
                    () -> {
                        most[0] = Math.max(most[0], running());
                        return sFleet.requests("engine-solola") >= before + 5;
                    });
            assertThat(most[0]).isAtMost(COLD_LIMIT);
            sFleet.setState("engine-solola", "warm");
            assertThat(load.failures()).isEmpty();
        }
    }

    /** Guards against requests that a planned stop cuts (G10). */
    @Test
    void plannedStopUnderStreamsCutsNoRequestAndTurnsReadinessOffFirst() throws Exception {
        try (LoadOfCalls load =
                new LoadOfCalls(
                        8,
                        i -> {
                            String router = sFleet.isReady("r2") ? "r2" : "r1";
                            return whole(stream(router, "stop " + i, 60, ""), "stop " + i, 60);
                        })) {
            ProcessFleet.await("streams run", () -> openRequests("r2") >= 4);
            sFleet.child("r2").terminate();
            ProcessFleet.await("readiness is off", () -> !sFleet.isReady("r2"));
            Call.Answer late = stream("r2", "late", 2, "").join();
            assertWithMessage("%s", late).that(late.status()).isEqualTo(200);
            assertThat(sFleet.child("r2").awaitEnd(30)).isTrue();
            long before = load.succeeded();
            ProcessFleet.await("requests go on", () -> load.succeeded() > before + 8);
            assertThat(load.failures()).isEmpty();
        }
        sFleet.child("r2").start();
        sFleet.awaitRevision();
    }

    /** Guards against a cut-off domain that stops to serve, or confirms without a majority. */
    @Test
    void cutOffFailureDomainServesAndRefusesKeyedCallsAndAppliesTheOrderLater() throws Exception {
        sFleet.cutOff("solola");
        ProcessFleet.await("r1 has no claims", () -> confirm("cut-probe").status() == 503);
        Call.Answer keyed = confirm("cut-key");
        assertWithMessage("%s", keyed).that(keyed.body()).contains("claim_unavailable");
        assertThat(keyed.outcome()).isEqualTo("not_run");
        for (String portal : List.of("portal-solola", "portal-totonicapan")) {
            assertThat(sFleet.executions(portal, "cut-key")).isEqualTo(0);
        }
        for (String router : List.of("r1", "r2", "r3")) {
            Call.Answer answer = stream(router, "cut", 5, "").join();
            assertWithMessage("%s: %s", router, answer).that(answer.status()).isEqualTo(200);
        }

        long revision = sFleet.changed("/v1/failure-domains/solola", "{\"out\":true}", "c2", "c3");
        ProcessFleet.await(
                "r3 has the order",
                () -> sFleet.status("r3").path("revision").asLong() >= revision);
        assertThat(domainState()).isEqualTo("pending");
        assertThat(sFleet.isReady("r1")).isTrue();
        sFleet.rejoin();
        ProcessFleet.await("the order is in force", () -> domainState().equals("in force"));
        assertThat(sFleet.isReady("r1")).isFalse();
        order(false);
        ProcessFleet.await("r1 is ready", () -> sFleet.isReady("r1"));
        // The members' views, and with them the owners, are as before the cut.
        sFleet.awaitRevision();
        ProcessFleet.await("claims work", () -> confirm("after-cut").status() == 200);
    }

    /** Guards against a truncated stream, and a server that is suspected for a lost connection. */
    @Test
    void streamCutOrStalledInTheMiddleReachesTheCallerWhole() throws Exception {
        Call.Answer cut = whole(stream("r1", "cut", 20, "?fault=cut:5"), "cut", 20);
        assertWithMessage("%s", cut).that(cut.status()).isEqualTo(200);

        long silentServers = sFleet.counted("r1", "server_silent");
        CompletableFuture<Call.Answer> stalled = stream("r1", "stall", 150, "");
        ProcessFleet.await("the stream runs", () -> running() > 0);
        sFleet.relayTo("engine-solola").stallOpen();
        Call.Answer answer = whole(stalled, "stall", 150);
        sFleet.relayTo("engine-solola").pass();
        assertWithMessage("%s", answer).that(answer.status()).isEqualTo(200);
        assertThat(sFleet.counted("r1", "connection_silent")).isAtLeast(1);
        assertThat(sFleet.counted("r1", "server_silent")).isEqualTo(silentServers);
    }

    private static LoadOfCalls load() {
        return new LoadOfCalls(
                20,
                i -> {
                    String router = sFleet.http(ROUTERS.get(i % ROUTERS.size()));
                    return Call.generate(router, "counter", "load " + i, 15, false, "").join();
                });
    }

    private static CompletableFuture<Call.Answer> stream(
            String router, String prompt, int tokens, String query) {
        return Call.generate(sFleet.http(router), "counter", prompt, tokens, true, query);
    }

    /** Returns the answer, with status 0 if the stream is not the whole answer to the prompt. */
    private static Call.Answer whole(
            CompletableFuture<Call.Answer> stream, String prompt, int tokens) {
        Call.Answer answer = stream.join();
        StringBuilder text = new StringBuilder();
        boolean ended = false;
        try {
            for (String line : answer.body().split("\n")) {
                ended |= line.equals("event: end");
                if (line.startsWith("data: ") && !ended) {
                    text.append(Call.JSON.readTree(line.substring(6)).path("text").asText());
                }
            }
        } catch (IOException e) {
            return new Call.Answer(0, "", answer.body());
        }
        boolean whole = ended && text.toString().equals(StandInText.answer(prompt, tokens));
        return whole ? answer : new Call.Answer(0, "status " + answer.status(), answer.body());
    }

    private static Call.Answer confirm(String key) {
        return Call.confirm(sFleet.http("r1"), key, "", 5_000).join();
    }

    private static void order(boolean out) throws IOException {
        sFleet.changed("/v1/failure-domains/solola", "{\"out\":" + out + "}");
    }

    private static String domainState() {
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

    /** Checks from the end of the guaranteed time on, while the load goes on elsewhere. */
    private static void awaitNoNewWork(String server, LoadOfCalls load) {
        long since = System.nanoTime();
        ProcessFleet.await(
                "the guaranteed time is over",
                () -> System.nanoTime() - since >= NO_NEW_WORK_AFTER.toNanos());
        long requests = sFleet.requests(server);
        long before = load.succeeded();
        ProcessFleet.await("requests go on elsewhere", () -> load.succeeded() >= before + 60);
        assertThat(sFleet.requests(server)).isEqualTo(requests);
    }
}
