package org.jacinthwharf.request.dispatch;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Comparator;
import java.util.List;
import org.jacinthwharf.wire.generated.Service;

/**
 * Divides the request rate of each cold backend server among the gateways in advance, so that they
 * need no coordination for each request.
 *
 * <p>For each server, a few gateways chosen by rendezvous hash may send a fixed number of requests
 * in any second; the others send none. Invariant: the quotas of all gateways with the same list add
 * up to at most the rate; with two lists in force at once, to at most twice the rate. Not
 * thread-safe.
 */
public final class ColdPermits {
    /** Fraction of the rate in use; the rest is a margin for two lists of gateways in force. */
    private static final double USED_RATE_FRACTION = 0.8;

    private final String mSelf;

    /** Hashes of the gateways by name. */
    private ImmutableSortedMap<String, Long> mGatewayHashes = ImmutableSortedMap.of();

    /**
     * Creates permits for a gateway; until the gateways are set, it sends nothing to cold servers.
     */
    public ColdPermits(String self) {
        mSelf = self;
    }

    /** Sets the gateways among which the rate of cold servers is divided. */
    public void setGateways(List<String> gateways) {
        mGatewayHashes =
                gateways.stream()
                        .distinct()
                        .collect(
                                ImmutableSortedMap.toImmutableSortedMap(
                                        Comparator.naturalOrder(), g -> g, Rendezvous::hash));
    }

    /** Returns whether this gateway may send a request to the server now. */
    boolean allows(BackendServer server, Service service, long nowNanos) {
        return !server.isCold(nowNanos)
                || server.sentRecently(nowNanos) < quota(server.id(), service.getColdRate());
    }

    /** Returns the requests that this gateway may send to a cold server in any second. */
    int quota(String server, double rate) {
        int total = (int) Math.floor(USED_RATE_FRACTION * rate);
        int senders = Math.min(total, mGatewayHashes.size());
        if (senders == 0) {
            return 0;
        }
        long key = Rendezvous.hash(server);
        int rank =
                mGatewayHashes.keySet().stream()
                        .sorted(
                                Comparator.comparingLong(
                                        g -> Rendezvous.weight(key, mGatewayHashes.get(g))))
                        .toList()
                        .indexOf(mSelf);
        if (rank < 0 || rank >= senders) {
            return 0;
        }
        return total / senders + (rank < total % senders ? 1 : 0);
    }
}
