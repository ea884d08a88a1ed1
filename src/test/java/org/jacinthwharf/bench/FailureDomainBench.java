package org.jacinthwharf.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.process.settings.Endpoint;

/** Measures service while a failure domain goes out of service and back, and version moves. */
final class FailureDomainBench {
    static final double REQUESTS_PER_SECOND = 100;

    private static final double LATENCY_LIMIT_MICROS = 930_000;
    private static final double MAX_NEW_WORK_SECONDS = 3;
    // Fraction of the previous rate; below 1 because the rate of one second is noisy at this load.
    private static final double FULL_USE_FRACTION = 0.8;

    private final BenchReport mReport;
    private final BenchFleet mFleet;
    private final List<Endpoint> mAffectedServers = new ArrayList<>();

    private FailureDomainBench(BenchReport report, BenchFleet fleet) {
        mReport = report;
        mFleet = fleet;
    }

    static void run(BenchReport report) throws Exception {
        report.section("5 failure domain and versions (4 routers in 2 failure domains)");
        try (BenchFleet fleet = new BenchFleet(4)) {
            fleet.putCustomers(0, 10);
            new FailureDomainBench(report, fleet).run();
            new MoveBench(report, fleet).run();
        }
    }

    private void run() throws Exception {
        mFleet.change("/v1/models/m", "{\"currentVersion\":\"v1\"}");
        for (int i = 0; i < 4; i++) {
            String domain = BenchFleet.domainOf(i);
            Endpoint endpoint = mFleet.startStandIn("d" + i, domain, "m", "--warm-limit", "20");
            if (domain.equals("fd-a")) {
                mAffectedServers.add(endpoint);
            }
        }
        mFleet.awaitServers(4);
        // Warms up the JIT compilers of the processes.
        load().runFor(2).close();
        try (OpenLoopLoad before = load().runFor(3)) {
            reportOutcomes("before", before);
        }
        try (OpenLoopLoad load = load()) {
            TimeUnit.MILLISECONDS.sleep(500);
            long base = requests();
            TimeUnit.MILLISECONDS.sleep(2_000);
            double rate = (requests() - base) / 2.0;
            mReport.add("rate in the failure domain before", rate, "1/s");
            double last = takeOutOfService();
            mReport.atMost("last new work after the order", last, MAX_NEW_WORK_SECONDS, "s");
            double secondsToFullUse = putBackInService(rate);
            mReport.add("full use after the order to return", secondsToFullUse, "s");
            load.stop();
            reportOutcomes("leaving and returning", load);
        }
    }

    private OpenLoopLoad load() {
        return new OpenLoopLoad(mFleet.mHttp.mClient, mFleet.mRouterHttp, "m", 8, false)
                .atRate(REQUESTS_PER_SECOND);
    }

    private void reportOutcomes(String when, OpenLoopLoad load) throws Exception {
        double sent = load.mSent.get();
        double lateRequests =
                load.mResponseTimes.getCountBetweenValues(
                        (long) LATENCY_LIMIT_MICROS, 120_000_000L);
        mReport.add(when + ", requests sent", sent, "");
        mReport.add(when + ", refused or failed", 100 * load.mFailed.get() / sent, "%");
        mReport.add(when + ", later than 0.93 s", 100 * lateRequests / sent, "%");
        for (int i = 0; i < 4 && load.mFailed.get() > 0; i++) {
            for (String line :
                    mFleet.mHttp.get(mFleet.mRouterAdmin.get(i), "/metrics").split("\n")) {
                if (line.startsWith("jacinthwharf_refusals_total{") && !line.endsWith(" 0.0")) {
                    String reason = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                    double count = Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
                    mReport.add("router " + i + " refused so far, " + reason, count, "");
                }
            }
        }
    }

    private long requests() throws Exception {
        long requests = 0;
        for (Endpoint endpoint : mAffectedServers) {
            requests += mFleet.mHttp.json(endpoint, "/stats").path("requests").asLong();
        }
        return requests;
    }

    /** Takes the failure domain out of service; returns the seconds until its last new request. */
    private double takeOutOfService() throws Exception {
        long start = System.nanoTime();
        mFleet.change("/v1/failure-domains/fd-a", "{\"out\":true}");
        long seen = requests();
        double last = (System.nanoTime() - start) / 1e9;
        while (System.nanoTime() - start < 6e9) {
            long now = requests();
            if (now > seen) {
                seen = now;
                last = (System.nanoTime() - start) / 1e9;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return last;
    }

    /**
     * Puts the failure domain back; returns the seconds until the first second of full use ends.
     */
    private double putBackInService(double rate) throws Exception {
        long start = System.nanoTime();
        mFleet.change("/v1/failure-domains/fd-a", "{\"out\":false}");
        double rateReached = 0;
        while (rateReached < FULL_USE_FRACTION * rate) {
            if (System.nanoTime() - start > 20e9) {
                return Double.POSITIVE_INFINITY;
            }
            long before = requests();
            long from = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(1_000);
            rateReached = (requests() - before) / ((System.nanoTime() - from) / 1e9);
        }
        return (System.nanoTime() - start) / 1e9;
    }
}
