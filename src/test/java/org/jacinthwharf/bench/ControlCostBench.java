package org.jacinthwharf.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Measures what control work costs per process, at several sizes, and fits slopes. */
final class ControlCostBench {
    private static final double CORE_PERCENT = 1.2;
    private static final double MEGABYTES = 64;
    private static final double BYTES_PER_SECOND = 15_000;
    private static final double WINDOW_SECONDS = 4;
    // New processes compile code and allocate; their first seconds say nothing about the rest.
    private static final double SETTLE_SECONDS = 4;

    private record Point(double size, CostWindow.Both cost) {}

    private final BenchReport mReport;

    private ControlCostBench(BenchReport report) {
        mReport = report;
    }

    static void run(BenchReport report) throws Exception {
        report.part("3 control cost (average per process; 3 control members)");
        new ControlCostBench(report).run();
    }

    /** Measures an idle fleet after the compiler has come to rest; too long for the whole run. */
    static void steady(BenchReport report) throws Exception {
        report.part("3a control cost of an idle fleet, 4 routers, 6 servers, after 40 s");
        try (BenchFleet fleet = new BenchFleet(4);
                Announcer announcer = new Announcer(fleet, 6)) {
            fleet.customers(0, 10);
            TimeUnit.SECONDS.sleep(40);
            CostWindow.Both cost = CostWindow.measure(fleet, 20);
            new ControlCostBench(report).compare(cost.router());
            new ControlCostBench(report).add("steady, control, ", cost.control());
            ControlStateBench.put(fleet, 10, 2_900);
            TimeUnit.SECONDS.sleep(5);
            cost = CostWindow.measure(fleet, 20);
            new ControlCostBench(report).add("steady, 2900 customers, router, ", cost.router());
        }
    }

    private void run() throws Exception {
        List<Point> routers = new ArrayList<>();
        for (int count : new int[] {2, 4, 8, 12}) {
            try (BenchFleet fleet = new BenchFleet(count);
                    Announcer announcer = new Announcer(fleet, 6)) {
                fleet.change("/v1/models/m", "{\"currentVersion\":\"v1\"}");
                fleet.customers(0, 10);
                settle();
                Point idle = point("routers", count, fleet);
                routers.add(idle);
                if (count == 4) {
                    compare(idle.cost().router());
                    others(fleet, announcer, idle);
                }
            }
        }
        slopes("router", routers);
    }

    private static void settle() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep((long) (SETTLE_SECONDS * 1_000));
    }

    private void compare(CostWindow router) {
        mReport.compare("router process idle, core", router.corePercent(), CORE_PERCENT, "%");
        mReport.compare("router process idle, memory", router.megabytes(), MEGABYTES, "MB");
        mReport.compare(
                "router process idle, sent and received",
                router.sentPerSecond() + router.receivedPerSecond(),
                BYTES_PER_SECOND,
                "B/s");
    }

    private void others(BenchFleet fleet, Announcer announcer, Point idle) throws Exception {
        List<Point> changes = new ArrayList<>(List.of(new Point(0, idle.cost())));
        for (int perMinute : new int[] {60, 300}) {
            changes.add(withChanges(fleet, perMinute));
        }
        slopes("change per minute", changes);

        List<Point> servers = new ArrayList<>(List.of(new Point(6, idle.cost())));
        for (int count : new int[] {60, 240}) {
            announcer.setServers(count);
            fleet.awaitServers(count);
            TimeUnit.SECONDS.sleep(2);
            servers.add(point("backend servers", count, fleet));
        }
        slopes("backend server", servers);

        // The servers of the last point stay announced while customers are added.
        List<Point> customers = new ArrayList<>(List.of(new Point(10, last(servers).cost())));
        int from = 10;
        for (int count : new int[] {300, 2_900}) {
            ControlStateBench.put(fleet, from, count);
            from = count;
            TimeUnit.SECONDS.sleep(2);
            customers.add(point("customers", count, fleet));
        }
        slopes("customer", customers);

        fleet.standIn("load-a", "fd-a", "m", "--warm-limit", "20");
        fleet.standIn("load-b", "fd-b", "m", "--warm-limit", "20");
        fleet.awaitServers(242);
        try (LoadRun load =
                new LoadRun(fleet.mHttp.mClient, fleet.mRouterHttp, "m", 8, false).atRate(40)) {
            TimeUnit.SECONDS.sleep(2);
            point("40 requests/s, 240 servers, customers", 2_900, fleet);
            load.stop();
            mReport.add("small load, requests failed", load.mFailed.get(), "");
        }
    }

    private static Point last(List<Point> points) {
        return points.get(points.size() - 1);
    }

    private Point withChanges(BenchFleet fleet, int perMinute) throws Exception {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try {
            int[] weight = {1};
            timer.scheduleAtFixedRate(
                    () -> changeWeight(fleet, ++weight[0]),
                    0,
                    60_000 / perMinute,
                    TimeUnit.MILLISECONDS);
            return point("changes per minute", perMinute, fleet);
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
            throw new IllegalStateException("change during the window", e);
        }
    }

    private Point point(String what, int size, BenchFleet fleet) throws Exception {
        CostWindow.Both cost = CostWindow.measure(fleet, WINDOW_SECONDS);
        add("%s %d, router, ".formatted(what, size), cost.router());
        add("%s %d, control, ".formatted(what, size), cost.control());
        return new Point(size, cost);
    }

    private void add(String name, CostWindow cost) {
        mReport.add(name + "core", cost.corePercent(), "%");
        mReport.add(name + "memory", cost.megabytes(), "MB");
        mReport.add(name + "sent", cost.sentPerSecond(), "B/s");
        mReport.add(name + "received", cost.receivedPerSecond(), "B/s");
    }

    private void slopes(String per, List<Point> points) {
        slope("router", per, points, p -> p.cost().router());
        slope("control", per, points, p -> p.cost().control());
    }

    private interface Role {
        CostWindow of(Point point);
    }

    private void slope(String role, String per, List<Point> points, Role of) {
        double[] x = points.stream().mapToDouble(Point::size).toArray();
        String name = "slope, " + role + " process, ";
        double[] core = points.stream().mapToDouble(p -> of.of(p).corePercent()).toArray();
        mReport.add(name + "core per " + per, LeastSquares.slope(x, core), "%");
        double[] memory = points.stream().mapToDouble(p -> of.of(p).megabytes()).toArray();
        mReport.add(name + "memory per " + per, 1_024 * LeastSquares.slope(x, memory), "KB");
        double[] bytes =
                points.stream()
                        .mapToDouble(p -> of.of(p).sentPerSecond() + of.of(p).receivedPerSecond())
                        .toArray();
        mReport.add(name + "bytes per " + per, LeastSquares.slope(x, bytes), "B/s");
    }
}
