package org.jacinthwharf.process.gateway;

import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
import org.jacinthwharf.request.dispatch.DispatchRequest;
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

    /** The open requests that no server has begun. */
    private final Set<DispatchRequest> mNotBegun =
            Collections.newSetFromMap(new IdentityHashMap<>());

    /** Requests for a service since the start of the process. */
    private static final class Totals {
        long mAsked;
        long mBegun;
        long mRefused;
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
    void onAsked(DispatchRequest request) {
        totals(request.service()).mAsked++;
        mNotBegun.add(request);
    }

    /**
     * Records the proof that a backend server began a request; called once for each request.
     *
     * @param customer empty if the request is not charged to anybody
     * @param nanos when the server began
     */
    void onBegun(DispatchRequest request, Optional<String> customer, long nanos) {
        totals(request.service()).mBegun++;
        mNotBegun.remove(request);
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(mLoop.nowNanos() - nanos);
        customer.ifPresent(c -> mCounter.count(c, mClock.nowMillis() - ageMillis));
    }

    /** Records the end of a request. */
    void onEnd(DispatchRequest request) {
        if (mNotBegun.remove(request)) {
            totals(request.service()).mRefused++;
        }
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
                                        .setBegun(totals.mBegun)
                                        .setRefused(totals.mRefused)));
        for (ForwardedCall call : mCalls.get()) {
            ServiceDemand.Builder demand = demands.get(call.dispatch().service());
            if (call.server().isPresent()) {
                demand.setRunning(demand.getRunning() + 1);
            } else {
                demand.setWaiting(demand.getWaiting() + 1);
            }
        }
        return demands.values().stream().map(ServiceDemand.Builder::build).toList();
    }
}
