package org.jacinthwharf.process.scaling;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.process.scaling.Demand.DomainDemand;
import org.jacinthwharf.wire.generated.Hello;
import org.jacinthwharf.wire.generated.ServiceDemand;
import org.jacinthwharf.wire.generated.UsageReport;

/**
 * The demand that gateways report, as rates over the last two seconds.
 *
 * <p>Not thread-safe; has no clock of its own. Invariant: a gateway adds to a rate only with what
 * it counted between two of its reports, so that neither a restart nor a new link is taken for a
 * burst.
 */
public final class DemandView {
    /** Two reports; shorter rates vary too much, longer ones follow a burst too late. */
    private static final long RATE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_900);

    /** Time that the reports of a gateway must cover before its rates are known. */
    private static final long MIN_SPAN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** One lost report and the delay of the next one, since a report may time out after 1.5 s. */
    private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** A gateway that is silent for longer is lost, and its callers have gone to others. */
    private static final long KNOWN_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<String, Gateway> mGateways = new HashMap<>();

    /** A report as it arrived. */
    private record Sample(long sequence, long nanos, Map<String, ServiceDemand> services) {}

    /** The last reports of one gateway incarnation, oldest first. */
    private record Gateway(long incarnation, String failureDomain, Deque<Sample> samples) {
        boolean isFresh(long nowNanos) {
            return nowNanos - samples.getLast().nanos() <= FRESH_NANOS;
        }

        long spanNanos() {
            return samples.getLast().nanos() - samples.getFirst().nanos();
        }

        /** Keeps what a rate needs: the newest report that is old enough, and all after it. */
        void add(Sample sample) {
            samples.addLast(sample);
            Sample second = second();
            while (second != null && sample.nanos() - second.nanos() >= RATE_NANOS) {
                samples.removeFirst();
                second = second();
            }
        }

        private Sample second() {
            return samples.stream().skip(1).findFirst().orElse(null);
        }
    }

    /** Records a report that has just arrived. */
    public void onReport(Hello from, UsageReport report, long nowNanos) {
        Gateway gateway = mGateways.get(from.getVmId());
        if (gateway == null || gateway.incarnation() < from.getIncarnation()) {
            gateway =
                    new Gateway(from.getIncarnation(), from.getFailureDomain(), new ArrayDeque<>());
            mGateways.put(from.getVmId(), gateway);
        } else if (gateway.incarnation() > from.getIncarnation()
                || gateway.samples().getLast().sequence() >= report.getSequence()) {
            return;
        }
        Map<String, ServiceDemand> services = new HashMap<>();
        report.getDemandsList().forEach(d -> services.put(d.getService(), d));
        gateway.add(new Sample(report.getSequence(), nowNanos, services));
        mGateways.values().removeIf(g -> nowNanos - g.samples().getLast().nanos() > KNOWN_NANOS);
    }

    /** Returns the demand as of now. */
    public Demand demand(long nowNanos) {
        mGateways.values().removeIf(g -> nowNanos - g.samples().getLast().nanos() > KNOWN_NANOS);
        Map<String, Map<String, DomainDemand>> services = new TreeMap<>();
        Map<String, Integer> measured = new HashMap<>();
        Map<String, Integer> known = new TreeMap<>();
        for (Gateway g : mGateways.values()) {
            String domain = g.failureDomain();
            known.merge(domain, 1, Integer::sum);
            if (!g.isFresh(nowNanos)) {
                continue;
            }
            if (g.spanNanos() >= MIN_SPAN_NANOS) {
                measured.merge(domain, 1, Integer::sum);
            }
            for (ServiceDemand newest : g.samples().getLast().services().values()) {
                services.computeIfAbsent(newest.getService(), s -> new TreeMap<>())
                        .merge(domain, measure(g, newest), DomainDemand::plus);
            }
        }
        Set<String> seen = new TreeSet<>();
        known.forEach(
                (domain, gateways) -> {
                    if (2 * measured.getOrDefault(domain, 0) >= gateways) {
                        seen.add(domain);
                    }
                });
        return new Demand(ImmutableSet.copyOf(seen), copy(services));
    }

    private static DomainDemand measure(Gateway gateway, ServiceDemand newest) {
        ServiceDemand oldest =
                gateway.samples()
                        .getFirst()
                        .services()
                        .getOrDefault(newest.getService(), ServiceDemand.getDefaultInstance());
        double seconds = gateway.spanNanos() / 1e9;
        boolean known = gateway.spanNanos() >= MIN_SPAN_NANOS;
        return new DomainDemand(
                known ? (newest.getAsked() - oldest.getAsked()) / seconds : 0,
                known ? (newest.getBegun() - oldest.getBegun()) / seconds : 0,
                known ? (newest.getRefused() - oldest.getRefused()) / seconds : 0,
                newest.getWaiting(),
                newest.getRunning());
    }

    private static ImmutableMap<String, ImmutableMap<String, DomainDemand>> copy(
            Map<String, Map<String, DomainDemand>> services) {
        ImmutableMap.Builder<String, ImmutableMap<String, DomainDemand>> copy =
                ImmutableMap.builder();
        services.forEach((service, domains) -> copy.put(service, ImmutableMap.copyOf(domains)));
        return copy.buildOrThrow();
    }
}
