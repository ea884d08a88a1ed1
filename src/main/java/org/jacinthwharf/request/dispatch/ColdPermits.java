package org.jacinthwharf.request.dispatch;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Comparator;
import java.util.List;
import org.jacinthwharf.wire.generated.Service;

/**
 * Divides what a cold backend server bears among the gateways, beforehand, so that no gateway has
 * to ask another one.
 *
 * <p>A few gateways, chosen by rendezvous hash for each server, may send a fixed number of requests
 * in any second; the others send none. Invariant: the parts of all gateways with the same list add
 * up to the rate at most. Two lists that are in force at once add up to twice the rate at most. Not
 * thread-safe.
 */
public final class ColdPermits {
    /** Part of the rate that is used; the rest absorbs two lists of gateways in force at once. */
    private static final double USED_PART = 0.8;

    private final String mSelf;

    /** Hashes of the gateways by name. */
    private ImmutableSortedMap<String, Long> mGateways = ImmutableSortedMap.of();

    /** Creates permits for a gateway that knows of no others, and sends nothing to cold servers. */
    public ColdPermits(String self) {
        mSelf = self;
    }

    /** Sets the gateways that share the rate of cold servers. */
    public void setGateways(List<String> gateways) {
        mGateways =
                gateways.stream()
                        .distinct()
                        .collect(
                                ImmutableSortedMap.toImmutableSortedMap(
                                        Comparator.naturalOrder(), g -> g, Rendezvous::hash));
    }

    /** Returns whether this gateway may send a request to the server now. */
    boolean allows(BackendServer server, Service service, long nowNanos) {
        return !server.isCold(nowNanos)
                || server.sentRecently(nowNanos) < part(server.id(), service.getColdRate());
    }

    /** Returns the requests that this gateway may send to a cold server in any second. */
    int part(String server, double rate) {
        int total = (int) Math.floor(USED_PART * rate);
        int sharers = Math.min(total, mGateways.size());
        if (sharers == 0) {
            return 0;
        }
        long key = Rendezvous.hash(server);
        int rank =
                mGateways.keySet().stream()
                        .sorted(
                                Comparator.comparingLong(
                                        g -> Rendezvous.weight(key, mGateways.get(g))))
                        .toList()
                        .indexOf(mSelf);
        if (rank < 0 || rank >= sharers) {
            return 0;
        }
        return total / sharers + (rank < total % sharers ? 1 : 0);
    }
}
