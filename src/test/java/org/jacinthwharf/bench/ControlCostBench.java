package org.jacinthwharf.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Measures the resources that control traffic takes per process at several fleet sizes, and fits a
 * line per resource to report the cost of each added unit.
 */
final class ControlCostBench {
    private static final double TARGET_CORE_PERCENT = 1.2;
    private static final double TARGET_MEGABYTES = 64;
    private static final double TARGET_BYTES_PER_SECOND = 15_000;
    private static final double WINDOW_SECONDS = 4;
    // JIT compilation and heap growth distort measurements in the first seconds after a start.
    private static final double SETTLE_SECONDS = 4;

    private record Sample(double size, ResourceUsage.ByRole cost) {}

    private final BenchReport mReport;

    private ControlCostBench(BenchReport report) {
        mReport = report;
    }

    static void run(BenchReport report) throws Exception {
        report.section("3 control cost (average per process; 3 control members)");
        new ControlCostBench(report).run();
    }

    /**
     * Measures an idle fleet after JIT warm-up, with 10 and with 2,900 customers; too slow for the
     * default run.
     */
    static void steady(BenchReport report) throws Exception {
        report.section("3a control cost of an idle fleet, 4 routers, 6 servers, after 40 s");
        try (BenchFleet fleet = new BenchFleet(4);
                Announcer announcer = new Announcer(fleet, 6)) {
            fleet.putCustomers(0, 10);
            TimeUnit.SECONDS.sleep(40);
            ResourceUsage.ByRole cost = ResourceUsage.measure(fleet, 20);
            new ControlCostBench(report).compare(cost.router());
            new ControlCostBench(report).add("steady, control, ", cost.control());
            ControlStateBench.putConcurrently(fleet, 10, 2_900);
            TimeUnit.SECONDS.sleep(5);
            cost = ResourceUsage.measure(fleet, 20);
            new ControlCostBench(report).add("steady, 2900 customers, router, ", cost.router());
        }
    }

    private void run() throws Exception {
        List<Sample> routers = new ArrayList<>();
        for (int count : new int[] {2, 4, 8, 12}) {
            try (BenchFleet fleet = new BenchFleet(count);
                    Announcer announcer = new Announcer(fleet, 6)) {
                fleet.change("/v1/models/m", "{\"currentVersion\":\"v1\"}");
                fleet.putCustomers(0, 10);
                settle();
                Sample idle = measure("routers", count, fleet);
                routers.add(idle);
                if (count == 4) {
                    compare(idle.cost().router());
                    measureGrowth(fleet, announcer, idle);
                }
            }
        }
        reportSlopes("router", routers);
    }

    private static void settle() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep((long) (SETTLE_SECONDS * 1_000));
    }

    private void compare(ResourceUsage router) {
        mReport.compare(
                "router process idle, core", router.corePercent(), TARGET_CORE_PERCENT, "%");
        mReport.compare("router process idle, memory", router.megabytes(), TARGET_MEGABYTES, "MB");
        mReport.compare(
                "router process idle, sent and received",
                router.sentPerSecond() + router.receivedPerSecond(),
                TARGET_BYTES_PER_SECOND,
                "B/s");
    }

    private void measureGrowth(BenchFleet fleet, Announcer announcer, Sample idle)
            throws Exception {
        List<Sample> changes = new ArrayList<>(List.of(new Sample(0, idle.cost())));
        for (int perMinute : new int[] {60, 300}) {
            changes.add(measureWithChanges(fleet, perMinute));
        }
        reportSlopes("change per minute", changes);

        List<Sample> servers = new ArrayList<>(List.of(new Sample(6, idle.cost())));
        for (int count : new int[] {60, 240}) {
            announcer.setServers(count);
            fleet.awaitServers(count);
            TimeUnit.SECONDS.sleep(2);
            servers.add(measure("backend servers", count, fleet));
        }
        reportSlopes("backend server", servers);

        // The servers of the last sample stay announced while customers are added.
        List<Sample> customers = new ArrayList<>(List.of(new Sample(10, last(servers).cost())));
        int from = 10;
        for (int count : new int[] {300, 2_900}) {
            ControlStateBench.putConcurrently(fleet, from, count);
            from = count;
            TimeUnit.SECONDS.sleep(2);
            customers.add(measure("customers", count, fleet));
        }
        reportSlopes("customer", customers);

        fleet.startStandIn("load-a", "fd-a", "m", "--warm-limit", "20");
        fleet.startStandIn("load-b", "fd-b", "m", "--warm-limit", "20");
        fleet.awaitServers(242);
        try (OpenLoopLoad load =
                new OpenLoopLoad(fleet.mHttp.mClient, fleet.mRouterHttp, "m", 8, false)
                        .atRate(40)) {
            TimeUnit.SECONDS.sleep(2);
            measure("40 requests/s, 240 servers, customers", 2_900, fleet);
            load.stop();
            mReport.add("small load, requests failed", load.mFailed.get(), "");
        }
    }

    private static Sample last(List<Sample> samples) {
        return samples.get(samples.size() - 1);
    }

    private Sample measureWithChanges(BenchFleet fleet, int perMinute) throws Exception {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try {
            int[] weight = {1};
            timer.scheduleAtFixedRate(
                    () -> changeWeight(fleet, ++weight[0]),
                    0,
                    60_000 / perMinute,
                    TimeUnit.MILLISECONDS);
            return measure("changes per minute", perMinute, fleet);
        } finally {
            timer.shutdownNow();
            timer.awaitTermination(5, TimeUnit.SECONDS);
        }
    }

    private static void changeWeight(BenchFleet fleet, int weight) {
        try {
            fleet.change(
                    "/v1/customers/c1", "{\"weight\":" + weight + ",\"homeRegion\":\"bench\"}");
        } catch (Exception e) {
            throw new IllegalStateException(
                    "configuration change failed during the measurement", e);
        }
    }

    private Sample measure(String variable, int size, BenchFleet fleet) throws Exception {
        ResourceUsage.ByRole cost = ResourceUsage.measure(fleet, WINDOW_SECONDS);
        add("%s %d, router, ".formatted(variable, size), cost.router());
        add("%s %d, control, ".formatted(variable, size), cost.control());
        return new Sample(size, cost);
    }

    private void add(String name, ResourceUsage cost) {
        mReport.add(name + "core", cost.corePercent(), "%");
        mReport.add(name + "memory", cost.megabytes(), "MB");
        mReport.add(name + "sent", cost.sentPerSecond(), "B/s");
        mReport.add(name + "received", cost.receivedPerSecond(), "B/s");
    }

    private void reportSlopes(String unit, List<Sample> samples) {
        reportSlope("router", unit, samples, s -> s.cost().router());
        reportSlope("control", unit, samples, s -> s.cost().control());
    }

    private interface RoleSelector {
        ResourceUsage usage(Sample sample);
    }

    private void reportSlope(
            String role, String unit, List<Sample> samples, RoleSelector selector) {
        double[] x = samples.stream().mapToDouble(Sample::size).toArray();
        String name = "slope, " + role + " process, ";
        double[] cpu = samples.stream().mapToDouble(s -> selector.usage(s).corePercent()).toArray();
        mReport.add(name + "core per " + unit, LeastSquares.slope(x, cpu), "%");
        double[] memory =
                samples.stream().mapToDouble(s -> selector.usage(s).megabytes()).toArray();
        mReport.add(name + "memory per " + unit, 1_024 * LeastSquares.slope(x, memory), "KB");
        double[] bytes =
                samples.stream()
                        .mapToDouble(
                                s ->
                                        selector.usage(s).sentPerSecond()
                                                + selector.usage(s).receivedPerSecond())
                        .toArray();
        mReport.add(name + "bytes per " + unit, LeastSquares.slope(x, bytes), "B/s");
    }
}
