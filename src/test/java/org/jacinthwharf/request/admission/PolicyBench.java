package org.jacinthwharf.request.admission;

import com.google.common.base.Ascii;
import java.util.OptionalDouble;
import org.jacinthwharf.bench.BenchReport;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.wire.generated.ServerState;

/** Compares the admission policy with three baselines under the same load, in virtual time. */
public final class PolicyBench {
    // Messages take 0.5 ms on average, the delay between failure domains in section 1.2 of the
    // design.
    static final long MAX_DELAY = Fleet.MILLI;

    private static final long SEED = 32;
    private static final double EXCHANGE_SECONDS = 0.4;

    private PolicyBench() {}

    /** Runs all policies and adds their results to the report. */
    public static void run(BenchReport report) {
        report.section("1 policy (virtual time, one recorded load, seed " + SEED + ")");
        PolicyLoad load = new PolicyLoad(SEED);
        PolicySampler chosen = runAdmission(load);
        double bestUtilisation = 0;
        double perRouterGap = 0;
        report.add("gap, chosen policy", chosen.largestGap(), "units");
        for (BaselineFleet.Policy policy : BaselineFleet.Policy.values()) {
            PolicySampler sampler = new BaselineFleet(policy, SEED).run(load);
            String name = Ascii.toLowerCase(policy.name()).replace('_', ' ');
            report.add("gap, " + name, sampler.largestGap(), "units");
            report.add("utilisation, " + name, 100 * sampler.utilisation(), "%");
            bestUtilisation = Math.max(bestUtilisation, sampler.utilisation());
            if (policy == BaselineFleet.Policy.FAIR_QUEUE_IN_EACH_ROUTER) {
                perRouterGap = sampler.largestGap();
            }
        }
        report.atLeast(
                "gap, fair queue in each router / chosen",
                perRouterGap / chosen.largestGap(),
                10,
                "times");
        double bound =
                new FairnessBound(
                                PolicyLoad.SLOTS,
                                PolicyLoad.LARGEST_COST,
                                PolicyLoad.UNITS_PER_SECOND,
                                EXCHANGE_SECONDS,
                                1)
                        .value();
        report.atMost(
                "gap, chosen policy, under the formula of 3.2",
                chosen.largestGap(),
                bound,
                "units");
        report.add("utilisation, chosen policy", 100 * chosen.utilisation(), "%");
        report.atMost(
                "utilisation lost against the best baseline",
                100 * (1 - chosen.utilisation() / bestUtilisation),
                2,
                "%");
    }

    private static PolicySampler runAdmission(PolicyLoad load) {
        Fleet fleet = new Fleet(SEED, PolicyLoad.ROUTERS);
        fleet.mMaxDelayNanos = MAX_DELAY;
        for (int i = 0; i < PolicyLoad.SERVERS; i++) {
            fleet.addServer("s" + i, ServerState.WARM, 1, PolicyLoad.SLOTS_PER_SERVER, i);
        }
        int[] jobs = {0};
        for (PolicyLoad.Arrival a : load.arrivals()) {
            fleet.after(
                    a.atNanos(),
                    () ->
                            fleet.router(a.router())
                                    .offer(
                                            a.customer(),
                                            new Fleet.Job("j" + jobs[0]++, a.cost()),
                                            OptionalDouble.empty(),
                                            2 * PolicyLoad.DURATION));
        }
        PolicySampler sampler = new PolicySampler();
        sampler.start(
                fleet,
                load.backlogged(),
                fleet::served,
                c -> isBacklogged(fleet, c),
                () -> fleet.mRouters.values().stream().mapToInt(r -> r.mAdmission.waiting()).sum(),
                () -> fleet.mServers.values().stream().mapToInt(FleetServer::running).sum());
        fleet.runFor(PolicyLoad.DURATION);
        return sampler;
    }

    private static boolean isBacklogged(Fleet fleet, CustomerId customer) {
        return fleet.mRouters.values().stream()
                .anyMatch(r -> r.mWaiting.getOrDefault(customer, 0) > 0);
    }
}
