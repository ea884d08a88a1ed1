package org.jacinthwharf.trial;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Predicate;
import org.eclipse.jetty.client.HttpClient;
import org.jacinthwharf.process.settings.Endpoint;
import org.jacinthwharf.standin.StandInText;
import org.jacinthwharf.trial.TrialClient.Answer;

/**
 * Sends requests of every kind through all routers and verifies every answer.
 *
 * <p>Not thread-safe; an instance runs once. Each check prints one line; the trial fails if any
 * check fails.
 */
public final class Trial {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
    private static final int CONCURRENCY = 16;
    private static final int NON_STREAMING_REQUESTS = 80;
    private static final int STREAMS = 40;
    // Each needs one retry; with four routers, each router's retry budget covers its two.
    private static final int INTERRUPTED_STREAMS = 8;
    private static final int KEYED_CALLS = 24;
    private static final int OVERSIZED_BYTES = (1 << 20) + 1;

    private final TrialClient mClient;
    private final List<Endpoint> mRouters;
    private final List<Endpoint> mStandIns;
    private final List<String> mCustomers;
    private final String mModel;
    private final String mService;
    private final PrintWriter mOut;
    private int mFailures;

    /**
     * Creates a trial.
     *
     * @param client a started client; the caller stops it
     * @param model model of the stand-in backend servers
     * @param service name of the stand-in plain service
     */
    public Trial(
            HttpClient client,
            List<Endpoint> routers,
            List<Endpoint> standIns,
            List<String> customers,
            String model,
            String service,
            PrintWriter out) {
        mClient = new TrialClient(client);
        mRouters = ImmutableList.copyOf(routers);
        mStandIns = ImmutableList.copyOf(standIns);
        mCustomers = ImmutableList.copyOf(customers);
        mModel = model;
        mService = service;
        mOut = out;
    }

    /**
     * Runs all checks and returns whether all passed.
     *
     * @throws InterruptedException if the calling thread is interrupted
     */
    public boolean run() throws InterruptedException {
        if (!waitUntilReady()) {
            report("fleet ready", 0, 1, "no whole answer within " + READY_TIMEOUT);
            return false;
        }
        ExecutorService pool = Executors.newFixedThreadPool(CONCURRENCY);
        try {
            check(pool, "whole answers", NON_STREAMING_REQUESTS, this::nonStreamingAnswer);
            check(pool, "streams", STREAMS, i -> stream(i, ""));
            check(
                    pool,
                    "streams cut and resumed",
                    INTERRUPTED_STREAMS,
                    i -> stream(i, "?fault=cut:5"));
            check(pool, "bookings, each repeated", KEYED_CALLS, this::keyedCall);
            check(pool, "reused keys refused", mRouters.size(), this::reusedKey);
        } finally {
            pool.shutdownNow();
        }
        checkRefusals();
        checkStandIns();
        mOut.println(mFailures == 0 ? "all checks held" : mFailures + " checks failed");
        mOut.flush();
        return mFailures == 0;
    }

    private Endpoint router(int i) {
        return mRouters.get(i % mRouters.size());
    }

    private String customer(int i) {
        return mCustomers.get(i % mCustomers.size());
    }

    private boolean waitUntilReady() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
        for (Endpoint r : mRouters) {
            while (mClient.generate(r, customer(0), mModel, "ready", 1, false, "").status() != 200
                    || serviceStatus(r) != 200) {
                if (System.nanoTime() > deadlineNanos) {
                    return false;
                }
                Thread.sleep(200);
            }
        }
        return true;
    }

    private int serviceStatus(Endpoint router) {
        Map<String, String> headers = Map.of("X-Customer", customer(0));
        return mClient.call(router, "GET", "/v1/service/" + mService + "/status", headers, "")
                .status();
    }

    /** Runs request {@code i} of a check, from 0; returns the problem, or empty if it passed. */
    private interface Check {
        String run(int i) throws JsonProcessingException;
    }

    private void check(ExecutorService pool, String name, int count, Check check)
            throws InterruptedException {
        List<Callable<String>> calls = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int number = i;
            calls.add(() -> check.run(number));
        }
        int passed = 0;
        String problem = "";
        for (Future<String> f : pool.invokeAll(calls)) {
            String result = resultOf(f);
            if (result.isEmpty()) {
                passed++;
            } else {
                problem = result;
            }
        }
        report(name, passed, count, problem);
    }

    private static String resultOf(Future<String> future) throws InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            return "failed: " + e.getCause();
        }
    }

    private void report(String name, int passed, int count, String problem) {
        mOut.printf(
                "%-28s %d of %d%s%n", name, passed, count, problem.isEmpty() ? "" : ": " + problem);
        mOut.flush();
        if (passed != count) {
            mFailures++;
        }
    }

    private String nonStreamingAnswer(int i) throws JsonProcessingException {
        String prompt = "briefing " + i;
        int tokens = 4 + i % 13;
        Answer a = mClient.generate(router(i), customer(i), mModel, prompt, tokens, false, "");
        if (a.status() != 200) {
            return a.toString();
        }
        String text = JSON.readTree(a.body()).path("text").asText();
        return text.equals(StandInText.answer(prompt, tokens)) ? "" : "wrong answer: " + a;
    }

    private String stream(int i, String query) throws JsonProcessingException {
        String prompt = "stream " + i + query;
        int tokens = 6 + i % 15;
        Answer a = mClient.generate(router(i), customer(i), mModel, prompt, tokens, true, query);
        if (a.status() != 200) {
            return a.toString();
        }
        StringBuilder text = new StringBuilder();
        boolean ended = false;
        for (String line : a.body().split("\n")) {
            if (line.equals("event: end")) {
                ended = true;
            } else if (line.startsWith("data: ") && !ended) {
                text.append(JSON.readTree(line.substring(6)).path("text").asText());
            }
        }
        boolean whole = ended && text.toString().equals(StandInText.answer(prompt, tokens));
        return whole ? "" : "wrong stream: " + a;
    }

    private String keyedCall(int i) {
        String path = "/v1/service/" + mService + "/hire";
        Map<String, String> headers =
                Map.of("X-Customer", customer(i), "X-Request-Key", "trial-hire-" + i);
        String body = "{\"vehicle\":" + i + "}";
        Answer first = mClient.call(router(i), "POST", path, headers, body);
        Answer repeated = mClient.call(router(i + 1), "POST", path, headers, body);
        boolean passed = first.status() == 200 && repeated.equals(first);
        return passed ? "" : "first " + first + ", repeated " + repeated;
    }

    private String reusedKey(int i) {
        String path = "/v1/service/" + mService + "/hire";
        Map<String, String> headers =
                Map.of("X-Customer", customer(i), "X-Request-Key", "trial-hire-" + i);
        return expectRefusal(
                mClient.call(router(i), "POST", path, headers, "{}"), 422, "key_reused");
    }

    private void checkRefusals() {
        Endpoint r = router(0);
        String large = Strings.repeat("x", OVERSIZED_BYTES);
        Map<String, String> customer = Map.of("X-Customer", customer(0), "X-Model", mModel);
        List<String> problems = new ArrayList<>();
        problems.add(
                expectRefusal(
                        mClient.generate(r, "nobody", mModel, "x", 1, false, ""),
                        403,
                        "unknown_customer"));
        problems.add(
                expectRefusal(
                        mClient.generate(r, customer(0), "no-model", "x", 1, false, ""),
                        404,
                        "unknown_model"));
        problems.add(
                expectRefusal(
                        mClient.call(r, "POST", "/v1/generate", Map.of(), "{}"),
                        400,
                        "missing_customer"));
        problems.add(
                expectRefusal(
                        mClient.call(r, "POST", "/v1/generate", customer, large),
                        413,
                        "body_too_large"));
        problems.add(
                expectRefusal(mClient.call(r, "GET", "/other", customer, ""), 404, "unknown_path"));
        problems.add(
                expectRefusal(
                        mClient.call(r, "POST", "/v1/announce", Map.of(), "{\"id\":1}"),
                        400,
                        "malformed_announcement"));
        long passed = problems.stream().filter(String::isEmpty).count();
        String problem =
                problems.stream().filter(Predicate.not(String::isEmpty)).findAny().orElse("");
        report("refusals with their reason", (int) passed, problems.size(), problem);
    }

    private static String expectRefusal(Answer answer, int status, String reason) {
        boolean passed = answer.status() == status && answer.body().contains("\"" + reason + "\"");
        return passed ? "" : "expected " + status + " " + reason + ", got " + answer;
    }

    private void checkStandIns() {
        int passed = 0;
        int coldPassed = 0;
        int keys = 0;
        String problem = "";
        String coldProblem = "";
        for (Endpoint s : mStandIns) {
            JsonNode stats = stats(s);
            int executedOnce = 0;
            for (JsonNode executions : stats.path("executions")) {
                keys++;
                executedOnce += executions.asInt() == 1 ? 1 : 0;
            }
            if (executedOnce != stats.path("executions").size()) {
                problem = "more than one execution: " + stats;
            }
            passed += executedOnce;
            if (stats.path("mostRunningCold").asInt(-1) <= stats.path("coldLimit").asInt(-2)) {
                coldPassed++;
            } else {
                coldProblem = "above the cold limit: " + stats;
            }
        }
        report("calls executed once", passed, Math.max(keys, KEYED_CALLS), problem);
        report("cold limits kept", coldPassed, mStandIns.size(), coldProblem);
    }

    private JsonNode stats(Endpoint standIn) {
        Answer answer = mClient.call(standIn, "GET", "/stats", Map.of(), "");
        try {
            return JSON.readTree(answer.body());
        } catch (JsonProcessingException e) {
            return JSON.createObjectNode();
        }
    }
}
