package org.jacinthwharf.request.dispatch;

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
final class ColdPermits {
    /** Fraction of the rate in use; the rest is a margin for two lists of gateways in force. */
    private static final double USED_RATE_FRACTION = 0.8;

    private final GatewayRanks mRanks;

    ColdPermits(GatewayRanks ranks) {
        mRanks = ranks;
    }

    /** Returns whether this gateway may send a request to the server now. */
    boolean allows(BackendServer server, Service service, long nowNanos) {
        return !server.isCold(nowNanos)
                || server.sentRecently(nowNanos) < quota(server.id(), service.getColdRate());
    }

    /** Returns the requests that this gateway may send to a cold server in any second. */
    int quota(String server, double rate) {
        int total = (int) Math.floor(USED_RATE_FRACTION * rate);
        int senders = Math.min(total, mRanks.gateways());
        if (senders == 0) {
            return 0;
        }
        int rank = mRanks.rank(server);
        if (rank < 0 || rank >= senders) {
            return 0;
        }
        return total / senders + (rank < total % senders ? 1 : 0);
    }
}
