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

/** Measures changes per second, the time until they are in force, and the restart of a member. */
final class ControlStateBench {
    private static final int PARALLEL = 16;
    private static final double IN_FORCE_MILLIS = 3_000;
    private static final double RESTART_SECONDS = 2;

    private ControlStateBench() {}

    static void run(BenchReport report) throws Exception {
        report.part("4 control state (3 members, 4 routers)");
        try (BenchFleet fleet = new BenchFleet(4)) {
            inForce(report, fleet);
            // Mostly the start of the JVM, which depends on the load of the machine.
            double empty = restart(fleet);
            report.add("restart after 56 changes", empty, "s");
            double first = put(fleet, 0, 1_000);
            report.add("changes/s, 16 in parallel, up to 1,000", 1_000 / first, "1/s");
            double thousand = restart(fleet);
            report.compare("restart after 1,000 changes", thousand, RESTART_SECONDS, "s");
            report.atMost(
                    "restart after 1,000 changes, beyond that after 56",
                    thousand - empty,
                    RESTART_SECONDS,
                    "s");
            double second = put(fleet, 0, 9_000);
            report.add("changes/s, 16 in parallel, up to 10,000", 9_000 / second, "1/s");
            report.add("restart after 10,000 changes", restart(fleet), "s");
            inForce(report, fleet);
        }
    }

    /** Puts customers {@code from} to {@code to} in parallel and returns the seconds it took. */
    static double put(BenchFleet fleet, int from, int to) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(PARALLEL);
        AtomicInteger next = new AtomicInteger(from);
        long start = System.nanoTime();
        List<Future<?>> all = new ArrayList<>();
        for (int t = 0; t < PARALLEL; t++) {
            all.add(
                    threads.submit(
                            () -> {
                                int i;
                                while ((i = next.getAndIncrement()) < to) {
                                    // At most 2,900 customers, the size designed for.
                                    fleet.customers(i % 2_900, i % 2_900 + 1);
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

    private static void inForce(BenchReport report, BenchFleet fleet) throws Exception {
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
                IN_FORCE_MILLIS,
                "ms");
    }

    /** Kills member 2 and starts it again; ends when it has applied all that member 0 had. */
    private static double restart(BenchFleet fleet) throws Exception {
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
