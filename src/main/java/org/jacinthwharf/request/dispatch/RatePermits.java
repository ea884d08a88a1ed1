package org.jacinthwharf.request.dispatch;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Divides the request rate that a backend server names in its answers among the gateways in
 * advance, so that they need no coordination for each request.
 *
 * <p>For each server, a few gateways chosen by rendezvous hash may send requests at intervals that
 * follow the customers that wait there; the others send none. Invariant: in any {@code t} seconds,
 * gateways with the same list send at most {@code 0.9 * t * rate + rate + 2} requests. Not
 * thread-safe.
 */
final class RatePermits {
    /** Fraction of the rate in use; the rest is a margin for delays between gateway and server. */
    private static final double USED_RATE_FRACTION = 0.9;

    /**
     * Requests a second that a server gets at least, since only its answers tell that it takes more
     * again.
     */
    private static final double MIN_RATE = 0.1;

    /**
     * Senders beyond one for each request a second. Each may send one request at once, however long
     * its interval.
     */
    private static final int EXTRA_SENDERS = 2;

    private static final double SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final GatewayRanks mRanks;

    RatePermits(GatewayRanks ranks) {
        mRanks = ranks;
    }

    /** Returns whether this gateway may send a request to the server now. */
    boolean allows(BackendServer server, long nowNanos) {
        OptionalDouble rate = server.namedRate().rate(nowNanos);
        if (rate.isEmpty()) {
            return true;
        }
        int senders =
                (int) Math.min(mRanks.gateways(), Math.floor(rate.getAsDouble()) + EXTRA_SENDERS);
        double fraction = mRanks.fraction(server.id(), senders, nowNanos);
        if (fraction == 0) {
            return false;
        }
        double used = USED_RATE_FRACTION * Math.max(MIN_RATE, rate.getAsDouble());
        // A gateway that has become a sender waits for its first request as for each other one.
        long since =
                Math.max(server.lastSentNanos(), mRanks.senderSinceNanos(server.id(), senders));
        return nowNanos - since >= SECOND_NANOS / (used * fraction);
    }
}
