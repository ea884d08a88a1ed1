package org.jacinthwharf.bench;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.jacinthwharf.process.settings.Endpoint;

/** Measures latency added to a direct call, and the event throughput of one router process. */
final class LatencyBench {
    private static final double MAX_TIME_TO_FIRST_TOKEN_MILLIS = 930;
    private static final double MAX_INTER_TOKEN_MILLIS = 66;
    private static final double TARGET_EVENTS_PER_SECOND = 36_500;
    private static final int PACED_TOKENS = 300;

    private LatencyBench() {}

    static void run(BenchReport report) throws Exception {
        report.section("2 latency and streams (4 routers, real processes on loopback)");
        try (BenchFleet fleet = new BenchFleet(4)) {
            fleet.change("/v1/models/m", "{\"currentVersion\":\"v1\"}");
            fleet.putCustomers(0, 10);
            List<Endpoint> engines = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                engines.add(
                        fleet.startStandIn(
                                "e" + i,
                                BenchFleet.domainOf(i),
                                "m",
                                "--warm-limit",
                                "40",
                                "--token-ms",
                                "2"));
            }
            fleet.change("/v1/models/paced", "{\"currentVersion\":\"v1\"}");
            for (int i = 0; i < 4; i++) {
                // All in the failure domain of router 0, the only one that gets these requests.
                fleet.startStandIn(
                        "p" + i, "fd-a", "paced", "--warm-limit", "600", "--token-ms", "10");
            }
            fleet.awaitServers(8);
            compareDirectAndRouted(report, fleet, engines, false);
            compareDirectAndRouted(report, fleet, engines, true);
            // Warms up the JIT compilers of the router and the stand-ins.
            measureEvents(
                    new BenchReport(new PrintStream(OutputStream.nullOutputStream())), fleet, 600);
            for (int streams : new int[] {100, 600, 1_200}) {
                measureEvents(report, fleet, streams);
            }
        }
    }

    private static void compareDirectAndRouted(
            BenchReport report, BenchFleet fleet, List<Endpoint> engines, boolean stream)
            throws Exception {
        // Warm-up runs for the JIT compilers.
        load(fleet, engines, stream, 1);
        load(fleet, fleet.mRouterHttp, stream, 3);
        OpenLoopLoad direct = load(fleet, engines, stream, 4);
        OpenLoopLoad routed = load(fleet, fleet.mRouterHttp, stream, 4);
        String kind = stream ? "stream" : "whole answer";
        percentiles(report, kind, direct.mResponseTimes, routed.mResponseTimes);
        report.add(kind + ", requests failed", routed.mFailed.get(), "");
        report.add(kind + ", requests sent", routed.mSent.get(), "");
        if (stream) {
            percentiles(report, "first event", direct.mFirstEventTimes, routed.mFirstEventTimes);
            percentiles(report, "between events", direct.mChunkGaps, routed.mChunkGaps);
            report.atMost(
                    "first event, 95th percentile",
                    millis(routed.mFirstEventTimes, 95),
                    MAX_TIME_TO_FIRST_TOKEN_MILLIS,
                    "ms");
            report.atMost(
                    "between events, 95th percentile",
                    millis(routed.mChunkGaps, 95),
                    MAX_INTER_TOKEN_MILLIS,
                    "ms");
        }
    }

    private static OpenLoopLoad load(
            BenchFleet fleet, List<Endpoint> targets, boolean stream, double seconds)
            throws Exception {
        try (OpenLoopLoad run = new OpenLoopLoad(fleet.mHttp.mClient, targets, "m", 16, stream)) {
            return run.atRate(200).runFor(seconds);
        }
    }

    private static void percentiles(
            BenchReport report, String name, Histogram direct, Histogram routed) {
        for (double p : new double[] {50, 99}) {
            double d = millis(direct, p);
            double r = millis(routed, p);
            String prefix = "%s, %.0fth percentile, ".formatted(name, p);
            report.add(prefix + "direct", d, "ms");
            report.add(prefix + "routed", r, "ms");
            report.add(prefix + "added", r - d, "ms");
        }
    }

    private static double millis(Histogram h, double percentile) {
        return h.getValueAtPercentile(percentile) / 1_000.0;
    }

    private static void measureEvents(BenchReport report, BenchFleet fleet, int streams)
            throws Exception {
        List<Endpoint> target = List.of(fleet.mRouterHttp.get(0));
        long pid = fleet.mRouters.get(0).pid();
        try (OpenLoopLoad run =
                new OpenLoopLoad(fleet.mHttp.mClient, target, "paced", PACED_TOKENS, true)) {
            for (int i = 0; i < streams; i++) {
                run.sendNow();
            }
            // After this time all streams run, and none has ended.
            TimeUnit.MILLISECONDS.sleep(1_000);
            long events = run.mEvents.get();
            double cpu = ProcFs.cpuSeconds(pid);
            Map<String, Double> threads = ProcFs.threadSeconds(pid);
            long start = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(1_800);
            double seconds = (System.nanoTime() - start) / 1e9;
            double passed = run.mEvents.get() - events;
            double used = ProcFs.cpuSeconds(pid) - cpu;
            Map<String, Double> after = ProcFs.threadSeconds(pid);
            after.replaceAll((thread, cpuNow) -> cpuNow - threads.getOrDefault(thread, 0.0));
            String busiest =
                    after.entrySet().stream().max(Map.Entry.comparingByValue()).get().getKey();
            run.stop();
            String name = streams + " streams through one router, ";
            report.compare(
                    name + "offered at most " + streams * 100,
                    passed / seconds,
                    TARGET_EVENTS_PER_SECOND,
                    "events/s");
            report.add(name + "processor time", 1e6 * used / passed, "us/event");
            report.add(name + "cores in use", used / seconds, "cores");
            report.add(
                    name + "thread " + busiest.substring(busiest.indexOf(' ') + 1),
                    after.get(busiest) / seconds,
                    "cores");
            report.add(name + "between events, 95th", millis(run.mChunkGaps, 95), "ms");
            report.add(name + "failed", run.mFailed.get(), "");
        }
    }
}
