package org.jacinthwharf.process.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.settings.DutySettings;
import org.jacinthwharf.process.usage.FleetClock;
import org.jacinthwharf.process.usage.UsageCounter;
import org.jacinthwharf.process.usage.UsageReporter;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.ServiceDemand;

/**
 * Measures what this gateway's callers ask of each service and what servers begin for each
 * customer, and reports both to the control members.
 *
 * <p>Used on the event loop only; exists only if the deployment has duties.
 */
final class Metering {
    private final UsageCounter mCounter;
    private final FleetClock mClock;
    private final UsageReporter mReporter;
    private final EventLoop mLoop;
    private final Supplier<? extends Collection<ForwardedCall>> mCalls;
    private final Map<String, Totals> mTotals = new TreeMap<>();

    /** Requests for a service since the start of the process. */
    private static final class Totals {
        long mAsked;
        long mBegun;
    }

    Metering(
            DutySettings settings,
            EventLoop loop,
            BiPredicate<VmId, Envelope> sender,
            Supplier<? extends Collection<ForwardedCall>> calls) {
        mCounter = new UsageCounter(settings.usageWindowMillis());
        mClock = new FleetClock(loop);
        mLoop = loop;
        mCalls = calls;
        mReporter = new UsageReporter(mCounter, mClock, loop, sender, this::demands);
    }

    UsageReporter reporter() {
        return mReporter;
    }

    /** Records the arrival of a request. */
    void onAsked(String service) {
        totals(service).mAsked++;
    }

    /**
     * Records the proof that a backend server began a request; called once for each request.
     *
     * @param customer empty if the request is not charged to anybody
     * @param nanos when the server began
     */
    void onBegun(String service, Optional<String> customer, long nanos) {
        totals(service).mBegun++;
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(mLoop.nowNanos() - nanos);
        customer.ifPresent(c -> mCounter.count(c, mClock.nowMillis() - ageMillis));
    }

    private Totals totals(String service) {
        return mTotals.computeIfAbsent(service, s -> new Totals());
    }

    private List<ServiceDemand> demands() {
        Map<String, ServiceDemand.Builder> demands = new TreeMap<>();
        mTotals.forEach(
                (service, totals) ->
                        demands.put(
                                service,
                                ServiceDemand.newBuilder()
                                        .setService(service)
                                        .setAsked(totals.mAsked)
                                        .setBegun(totals.mBegun)));
        for (ForwardedCall call : mCalls.get()) {
            ServiceDemand.Builder demand = demands.get(call.dispatch().service());
            if (call.server().isPresent()) {
                demand.setRunning(demand.getRunning() + 1);
            } else {
                demand.setWaiting(demand.getWaiting() + 1);
            }
        }
        List<ServiceDemand> result = new ArrayList<>();
        demands.values()
                .forEach(
                        d -> {
                            long open = (long) d.getRunning() + d.getWaiting();
                            result.add(
                                    d.setRefused(Math.max(0, d.getAsked() - d.getBegun() - open))
                                            .build());
                        });
        return result;
    }
}
