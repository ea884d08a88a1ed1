package org.jacinthwharf.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.process.settings.Endpoint;

/** Measures service while a failure domain leaves and returns, and version moves. */
final class DomainBench {
    static final double RATE = 100;

    private static final double LATE_MICROS = 930_000;
    private static final double NO_NEW_WORK_SECONDS = 3;
    // Of the rate before; a second of the usual rate is noisy at the rate of this load.
    private static final double FULL_USE = 0.8;

    private final BenchReport mReport;
    private final BenchFleet mFleet;
    private final List<Endpoint> mLeaving = new ArrayList<>();

    private DomainBench(BenchReport report, BenchFleet fleet) {
        mReport = report;
        mFleet = fleet;
    }

    static void run(BenchReport report) throws Exception {
        report.part("5 failure domain and versions (4 routers in 2 failure domains)");
        try (BenchFleet fleet = new BenchFleet(4)) {
            fleet.customers(0, 10);
            new DomainBench(report, fleet).run();
            new MoveBench(report, fleet).run();
        }
    }

    private void run() throws Exception {
        mFleet.change("/v1/models/m", "{\"currentVersion\":\"v1\"}");
        for (int i = 0; i < 4; i++) {
            String domain = BenchFleet.domainOf(i);
            Endpoint at = mFleet.standIn("d" + i, domain, "m", "--warm-limit", "20");
            if (domain.equals("fd-a")) {
                mLeaving.add(at);
            }
        }
        mFleet.awaitServers(4);
        // Compiles the code of the processes.
        load().runFor(2).close();
        try (LoadRun before = load().runFor(3)) {
            shares("before", before);
        }
        try (LoadRun load = load()) {
            TimeUnit.MILLISECONDS.sleep(500);
            long base = requests();
            TimeUnit.MILLISECONDS.sleep(2_000);
            double rate = (requests() - base) / 2.0;
            mReport.add("rate in the failure domain before", rate, "1/s");
            double last = leave();
            mReport.atMost("last new work after the order", last, NO_NEW_WORK_SECONDS, "s");
            double full = comeBack(rate);
            mReport.add("full use after the order to return", full, "s");
            load.stop();
            shares("leaving and returning", load);
        }
    }

    private LoadRun load() {
        return new LoadRun(mFleet.mHttp.mClient, mFleet.mRouterHttp, "m", 8, false).atRate(RATE);
    }

    private void shares(String when, LoadRun load) throws Exception {
        double sent = load.mSent.get();
        double late = load.mWhole.getCountBetweenValues((long) LATE_MICROS, 120_000_000L);
        mReport.add(when + ", requests sent", sent, "");
        mReport.add(when + ", refused or failed", 100 * load.mFailed.get() / sent, "%");
        mReport.add(when + ", later than 0.93 s", 100 * late / sent, "%");
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
        for (Endpoint at : mLeaving) {
            requests += mFleet.mHttp.json(at, "/stats").path("requests").asLong();
        }
        return requests;
    }

    /** Takes the failure domain out; returns the time at which the last new request started. */
    private double leave() throws Exception {
        long start = System.nanoTime();
        mFleet.change("/v1/failure-domains/fd-a", "{\"out\":true}");
        long known = requests();
        double last = (System.nanoTime() - start) / 1e9;
        while (System.nanoTime() - start < 6e9) {
            long now = requests();
            if (now > known) {
                known = now;
                last = (System.nanoTime() - start) / 1e9;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return last;
    }

    /** Puts the failure domain back; returns the end of the first second of full use. */
    private double comeBack(double rate) throws Exception {
        long start = System.nanoTime();
        mFleet.change("/v1/failure-domains/fd-a", "{\"out\":false}");
        double reached = 0;
        while (reached < FULL_USE * rate) {
            if (System.nanoTime() - start > 20e9) {
                return Double.POSITIVE_INFINITY;
            }
            long before = requests();
            long from = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(1_000);
            reached = (requests() - before) / ((System.nanoTime() - from) / 1e9);
        }
        return (System.nanoTime() - start) / 1e9;
    }
}
