package org.jacinthwharf.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.process.settings.Endpoint;

/** Moves one model to a good version and another to a bad version, concurrently. */
final class MoveBench {
    private static final long DEADLINE_MILLIS = 40_000;
    private static final double CANARY_PERCENT = 5;
    private static final ImmutableSet<String> FINAL_PHASES =
            ImmutableSet.of("done", "rolled_back", "missed_deadline");

    private final BenchReport mReport;
    private final BenchFleet mFleet;

    MoveBench(BenchReport report, BenchFleet fleet) {
        mReport = report;
        mFleet = fleet;
    }

    void run() throws Exception {
        Map<String, Endpoint> bad = new HashMap<>();
        for (String model : List.of("good", "bad")) {
            mFleet.change("/v1/models/" + model, "{\"currentVersion\":\"v1\"}");
            for (String domain : BenchFleet.DOMAINS) {
                String suffix = "-" + model + "-" + domain;
                mFleet.startStandIn("v1" + suffix, domain, model, "--warm-limit", "30");
                String errors = model.equals("bad") ? "30" : "0";
                Endpoint endpoint =
                        mFleet.startStandIn(
                                "v2" + suffix,
                                domain,
                                model,
                                "--warm-limit",
                                "30",
                                "--model-version",
                                "v2",
                                "--error-percent",
                                errors);
                if (model.equals("bad")) {
                    bad.put(domain, endpoint);
                }
            }
        }
        mFleet.awaitServers(12);
        try (OpenLoopLoad good = load("good");
                OpenLoopLoad badLoad = load("bad")) {
            // A router with fewer than 400 requests in the last minute sends a canary one request
            // at a time, whatever fraction that is; the bound of 5% applies above that rate.
            TimeUnit.SECONDS.sleep(9);
            long start = System.nanoTime();
            long badSent = badLoad.mSent.get();
            startMove("good");
            startMove("bad");
            awaitMoves("good", "bad", start, bad, badLoad, badSent);
            good.stop();
            badLoad.stop();
            mReport.add("good move, requests failed", good.mFailed.get(), "");
            mReport.add(
                    "bad move, callers' requests failed",
                    100.0 * badLoad.mFailed.get() / badLoad.mSent.get(),
                    "%");
        }
    }

    private OpenLoopLoad load(String model) {
        return new OpenLoopLoad(mFleet.mHttp.mClient, mFleet.mRouterHttp, model, 4, false)
                .atRate(2 * FailureDomainBench.REQUESTS_PER_SECOND);
    }

    private void startMove(String model) throws Exception {
        mFleet.change(
                "/v1/moves",
                "{\"model\":\"%s\",\"toVersion\":\"v2\",\"deadlineMillis\":%d}"
                        .formatted(model, System.currentTimeMillis() + DEADLINE_MILLIS));
    }

    private void awaitMoves(
            String good,
            String bad,
            long start,
            Map<String, Endpoint> badServers,
            OpenLoopLoad badLoad,
            long sentBefore)
            throws Exception {
        Map<String, String> ended = new HashMap<>();
        while (ended.size() < 2 && System.nanoTime() - start < 1_000_000 * DEADLINE_MILLIS) {
            for (JsonNode move :
                    mFleet.mHttp.json(mFleet.mControlHttp.get(0), "/v1/moves").path("moves")) {
                String model = move.path("model").asText();
                String phase = move.path("phase").asText();
                if (!FINAL_PHASES.contains(phase) || ended.put(model, phase) != null) {
                    continue;
                }
                double seconds = (System.nanoTime() - start) / 1e9;
                mReport.add(
                        "move to %s version: %s (%s), after"
                                .formatted(model, phase, move.path("reason").asText()),
                        seconds,
                        "s");
                if (model.equals(bad)) {
                    reportBadVersionTraffic(badServers, badLoad.mSent.get() - sentBefore);
                }
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        mReport.atLeast(
                "good version done by its deadline", "done".equals(ended.get(good)) ? 1 : 0, 1, "");
        mReport.atLeast(
                "bad version taken back", "rolled_back".equals(ended.get(bad)) ? 1 : 0, 1, "");
    }

    /**
     * Reports the fraction of the route's requests that the bad version got before its rollback.
     */
    private void reportBadVersionTraffic(Map<String, Endpoint> servers, double sent)
            throws Exception {
        double reached = 0;
        for (Endpoint endpoint : servers.values()) {
            reached += mFleet.mHttp.json(endpoint, "/stats").path("requests").asLong();
        }
        mReport.add("requests that the bad version got", reached, "");
        mReport.atMost(
                "share of the route that the bad version got",
                100 * reached / sent,
                CANARY_PERCENT,
                "%");
    }
}
