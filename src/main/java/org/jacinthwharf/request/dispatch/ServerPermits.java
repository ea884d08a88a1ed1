package org.jacinthwharf.request.dispatch;

import org.jacinthwharf.wire.generated.Service;

/**
 * Limits what this gateway sends to backend servers that bear little: cold ones, and those that
 * name a rate. If both hold, the lower limit counts.
 *
 * <p>Not thread-safe. Invariant: without a list of gateways nothing is sent to such servers.
 */
public final class ServerPermits {
    private final ColdPermits mColdPermits;
    private final RatePermits mRatePermits;

    /** Creates permits; the ranks decide which gateways send to such servers. */
    public ServerPermits(GatewayRanks ranks) {
        mColdPermits = new ColdPermits(ranks);
        mRatePermits = new RatePermits(ranks);
    }

    /** Returns whether this gateway may send a request to the server now. */
    boolean allows(BackendServer server, Service service, long nowNanos) {
        return mColdPermits.allows(server, service, nowNanos)
                && mRatePermits.allows(server, nowNanos);
    }
}
