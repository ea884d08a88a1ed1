package org.jacinthwharf.process.scaling;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jacinthwharf.process.membership.ServerDirectory;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerStatus;

/**
 * How many backend servers serve each service in each failure domain.
 *
 * <p>Immutable.
 */
public final class ServerCounts {
    private final ImmutableMap<Subject, Integer> mServing;
    private final ImmutableMap<Subject, Integer> mWarm;
    private final ImmutableMap<String, Double> mSlots;

    private ServerCounts(
            Map<Subject, Integer> serving, Map<Subject, Integer> warm, Map<String, Double> slots) {
        mServing = ImmutableMap.copyOf(serving);
        mWarm = ImmutableMap.copyOf(warm);
        mSlots = ImmutableMap.copyOf(slots);
    }

    /**
     * Counts the servers of a directory.
     *
     * @param silenceNanos time without an announcement after which a server is taken as lost
     */
    public static ServerCounts of(
            Collection<ServerDirectory.Entry> entries, long silenceNanos, long nowNanos) {
        Map<Subject, Integer> serving = new HashMap<>();
        Map<Subject, Integer> warm = new HashMap<>();
        Map<String, Integer> servers = new HashMap<>();
        Map<String, Double> slots = new HashMap<>();
        for (ServerDirectory.Entry e : entries) {
            ServerRecord r = e.record();
            if (r.getStatus() != ServerStatus.SERVING
                    || nowNanos - e.lastReceivedNanos() > silenceNanos) {
                continue;
            }
            Subject subject = new Subject(r.getService(), r.getFailureDomain());
            serving.merge(subject, 1, Integer::sum);
            if (e.coldUntilNanos() <= nowNanos) {
                warm.merge(subject, 1, Integer::sum);
            }
            servers.merge(r.getService(), 1, Integer::sum);
            slots.merge(r.getService(), (double) Math.max(1, r.getSlots()), Double::sum);
        }
        slots.replaceAll((service, sum) -> sum / servers.get(service));
        return new ServerCounts(serving, warm, slots);
    }

    int serving(Subject subject) {
        return mServing.getOrDefault(subject, 0);
    }

    /** Returns the servers that take all requests; servers that started just now take few. */
    int warm(Subject subject) {
        return mWarm.getOrDefault(subject, 0);
    }

    /** Returns the mean number of slots that the servers of a service announce, at least 1. */
    double slots(String service) {
        return mSlots.getOrDefault(service, 1.0);
    }

    /** Returns the failure domains in which a service has servers. */
    Set<String> domains(String service) {
        Set<String> domains = new TreeSet<>();
        for (Subject s : mServing.keySet()) {
            if (s.service().equals(service)) {
                domains.add(s.failureDomain());
            }
        }
        return domains;
    }
}
