package org.jacinthwharf.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.jacinthwharf.process.settings.Endpoint;

/**
 * Measures the rate of changes, the time until they are active at every router, and the restart of
 * a member.
 */
final class ControlStateBench {
    private static final int CONCURRENCY = 16;
    private static final double MAX_ACTIVATION_MILLIS = 3_000;
    private static final double MAX_RESTART_SECONDS = 2;

    private ControlStateBench() {}

    static void run(BenchReport report) throws Exception {
        report.section("4 control state (3 members, 4 routers)");
        try (BenchFleet fleet = new BenchFleet(4)) {
            measureActivation(report, fleet);
            // Mostly JVM startup, which depends on the load of the machine.
            double empty = measureRestart(fleet);
            report.add("restart after 56 changes", empty, "s");
            double first = putConcurrently(fleet, 0, 1_000);
            report.add("changes/s, 16 in parallel, up to 1,000", 1_000 / first, "1/s");
            double thousand = measureRestart(fleet);
            report.compare("restart after 1,000 changes", thousand, MAX_RESTART_SECONDS, "s");
            report.atMost(
                    "restart after 1,000 changes, beyond that after 56",
                    thousand - empty,
                    MAX_RESTART_SECONDS,
                    "s");
            double second = putConcurrently(fleet, 0, 9_000);
            report.add("changes/s, 16 in parallel, up to 10,000", 9_000 / second, "1/s");
            report.add("restart after 10,000 changes", measureRestart(fleet), "s");
            measureActivation(report, fleet);
        }
    }

    /** Puts customers {@code from} to {@code to} concurrently and returns the seconds it took. */
    static double putConcurrently(BenchFleet fleet, int from, int to) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(CONCURRENCY);
        AtomicInteger next = new AtomicInteger(from);
        long start = System.nanoTime();
        List<Future<?>> all = new ArrayList<>();
        for (int t = 0; t < CONCURRENCY; t++) {
            all.add(
                    threads.submit(
                            () -> {
                                int i;
                                while ((i = next.getAndIncrement()) < to) {
                                    // The design limit is 2,900 customers.
                                    fleet.putCustomers(i % 2_900, i % 2_900 + 1);
                                }
                                return null;
                            }));
        }
        for (Future<?> one : all) {
            one.get();
        }
        threads.shutdown();
        return (System.nanoTime() - start) / 1e9;
    }

    private static void measureActivation(BenchReport report, BenchFleet fleet) throws Exception {
        Histogram micros = new Histogram(60_000_000L, 3);
        for (int i = 0; i < 50; i++) {
            long start = System.nanoTime();
            long revision =
                    fleet.change(
                            "/v1/customers/c0",
                            "{\"weight\":" + (2 + i) + ",\"homeRegion\":\"bench\"}");
            for (Endpoint admin : fleet.mRouterAdmin) {
                while (fleet.mHttp.json(admin, "/status").path("revision").asLong() < revision) {
                    TimeUnit.MILLISECONDS.sleep(1);
                }
            }
            micros.recordValue((System.nanoTime() - start) / 1_000);
        }
        report.add("in force at every router, median", micros.getValueAtPercentile(50) / 1e3, "ms");
        report.atMost(
                "in force at every router, largest of 50",
                micros.getMaxValue() / 1e3,
                MAX_ACTIVATION_MILLIS,
                "ms");
    }

    /** Restarts member 2 and returns the seconds until it has caught up with member 0. */
    private static double measureRestart(BenchFleet fleet) throws Exception {
        Endpoint admin = fleet.mControlHttp.get(2);
        long revision = statusOf(fleet, fleet.mControlHttp.get(0)).path("revision").asLong();
        fleet.mControls.get(2).kill();
        long start = System.nanoTime();
        fleet.mControls.set(2, fleet.startControl(2));
        BenchFleet.await(
                "restart of member 2",
                () -> {
                    try {
                        return statusOf(fleet, admin).path("revision").asLong(-1) >= revision;
                    } catch (Exception e) {
                        return false;
                    }
                });
        return (System.nanoTime() - start) / 1e9;
    }

    private static JsonNode statusOf(BenchFleet fleet, Endpoint member) throws Exception {
        return fleet.mHttp.json(member, "/v1/status");
    }
}
