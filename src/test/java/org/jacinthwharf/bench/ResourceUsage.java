package org.jacinthwharf.bench;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.process.settings.Endpoint;

/**
 * Resource usage of the processes of one role over a time window, on average per process.
 *
 * @param corePercent CPU time, in percent of a core
 * @param megabytes resident memory of the largest process at the end of the window
 * @param sentPerSecond bytes of messages sent to other processes, per second
 * @param receivedPerSecond bytes of messages received from other processes, per second
 */
record ResourceUsage(
        double corePercent, double megabytes, double sentPerSecond, double receivedPerSecond) {
    /** The usage of both roles. */
    record ByRole(ResourceUsage router, ResourceUsage control) {}

    private record Totals(double cpu, double sent, double received) {}

    /** Measures both roles at the same time. */
    static ByRole measure(BenchFleet fleet, double seconds) throws Exception {
        long start = System.nanoTime();
        Totals routers = totals(fleet, fleet.mRouters, fleet.mRouterAdmin);
        Totals controls = totals(fleet, fleet.mControls, fleet.mControlAdmin);
        TimeUnit.MILLISECONDS.sleep((long) (seconds * 1_000));
        double elapsed = (System.nanoTime() - start) / 1e9;
        Totals routersAfter = totals(fleet, fleet.mRouters, fleet.mRouterAdmin);
        Totals controlsAfter = totals(fleet, fleet.mControls, fleet.mControlAdmin);
        return new ByRole(
                usageBetween(fleet.mRouters, routers, routersAfter, elapsed),
                usageBetween(fleet.mControls, controls, controlsAfter, elapsed));
    }

    private static ResourceUsage usageBetween(
            List<BenchProcess> processes, Totals before, Totals after, double seconds)
            throws Exception {
        double megabytes = 0;
        for (BenchProcess process : processes) {
            megabytes = Math.max(megabytes, ProcFs.residentMegabytes(process.pid()));
        }
        double processSeconds = seconds * processes.size();
        return new ResourceUsage(
                100 * (after.cpu() - before.cpu()) / processSeconds,
                megabytes,
                (after.sent() - before.sent()) / processSeconds,
                (after.received() - before.received()) / processSeconds);
    }

    private static Totals totals(
            BenchFleet fleet, List<BenchProcess> processes, List<Endpoint> admin) throws Exception {
        double cpu = 0;
        double sent = 0;
        double received = 0;
        for (int i = 0; i < processes.size(); i++) {
            cpu += ProcFs.cpuSeconds(processes.get(i).pid());
            for (String line : fleet.mHttp.get(admin.get(i), "/metrics").split("\n")) {
                if (line.startsWith("jacinthwharf_control_bytes_total{")) {
                    double value = Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
                    boolean out = line.contains("direction=\"out\"");
                    sent += out ? value : 0;
                    received += out ? 0 : value;
                }
            }
        }
        return new Totals(cpu, sent, received);
    }
}
