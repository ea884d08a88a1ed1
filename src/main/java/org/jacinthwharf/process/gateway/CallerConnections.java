package org.jacinthwharf.process.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.process.metrics.FleetMetrics;

/**
 * The connections of callers, within the descriptors that the process may use.
 *
 * <p>Callers keep connections open for later requests, and a load balancer may send the callers of
 * a large customer to one gateway. At the limit of descriptors a process can neither accept callers
 * nor connect to a server. So a part is left for servers and other processes: beyond it, idle
 * connections are closed, those that have been idle for longest first, and if none is idle, the new
 * one, whose caller can then reach another gateway at once.
 *
 * <p>Used on the event loop only. Invariant: there are at most as many as the limit.
 */
final class CallerConnections {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Descriptors of the platform that are for files: libraries, logs. */
    private static final int FILE_DESCRIPTORS = 200;

    /** Part of the other descriptors for callers; each call may need one to a server as well. */
    private static final double CALLER_FRACTION = 0.75;

    /** Closing a few more than needed saves a search for each new connection. */
    private static final int CLOSED_AT_ONCE = 16;

    private final Set<CallerConnection> mConnections = new HashSet<>();
    private final int mLimit;
    private final FleetMetrics mMetrics;

    /** Creates an empty set for a process that may use a number of descriptors. */
    CallerConnections(int maxDescriptors, FleetMetrics metrics) {
        mLimit = (int) (CALLER_FRACTION * (maxDescriptors - FILE_DESCRIPTORS));
        mMetrics = metrics;
    }

    /** Adds a new connection; returns whether there was room, otherwise it must be closed. */
    boolean add(CallerConnection connection, long nowNanos) {
        if (mConnections.size() >= mLimit && !closeIdle(nowNanos)) {
            mMetrics.countEvent("caller_connection_refused");
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "event=callers_full limit=%d action=refuse_connection", mLimit);
            return false;
        }
        return mConnections.add(connection);
    }

    private boolean closeIdle(long nowNanos) {
        List<CallerConnection> idlest =
                mConnections.stream()
                        .filter(c -> c.idleSinceNanos() < nowNanos - GatewayStop.MIN_IDLE_NANOS)
                        .filter(c -> !c.isReceiving())
                        .sorted(Comparator.comparingLong(CallerConnection::idleSinceNanos))
                        .limit(CLOSED_AT_ONCE)
                        .toList();
        if (idlest.isEmpty()) {
            return false;
        }
        LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                "event=callers_full limit=%d action=close_idle", mLimit);
        for (CallerConnection c : idlest) {
            mMetrics.countEvent("idle_caller_closed");
            mConnections.remove(c);
            c.close();
        }
        return true;
    }

    void remove(CallerConnection connection) {
        mConnections.remove(connection);
    }

    int size() {
        return mConnections.size();
    }

    /** Returns a copy, so that connections may be closed while it is used. */
    ImmutableList<CallerConnection> all() {
        return ImmutableList.copyOf(mConnections);
    }
}
