package org.jacinthwharf.process.router;

import org.jacinthwharf.connection.FirstByteTimes;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.moves.EvidenceSink;

/**
 * What a {@link RequestRun} needs from the router process.
 *
 * <p>Used on the event loop only.
 */
interface RequestServices {
    /** Returns this run of the router. */
    RouterIncarnation self();

    /** Returns the loop of the process. */
    EventLoop loop();

    /** Returns the counters of the process. */
    FleetMetrics metrics();

    /** Returns the client towards backend servers. */
    BackendClient client();

    /** Returns the client towards the claims of the control group. */
    ClaimClient claims();

    /** Returns the queue for slots. */
    AdmissionDriver admission();

    /** Returns the counts of outcomes per version. */
    EvidenceSink evidence();

    /** Returns the times to first byte per route. */
    FirstByteTimes firstByteTimes();

    /** Chooses the version that runs the request. */
    PoolId poolFor(CallerRequest request);

    /** Chooses the version for a repeat of the request. */
    PoolId poolForRepeat(CallerRequest request);

    /** Returns the estimated cost of the request in cost units. */
    double estimate(CallerRequest request);

    /** Records the measured cost of a request that ended, in cost units. */
    void recordCost(CallerRequest request, double cost);

    /** Takes note that no connection to the server could be made. */
    void suspect(BackendServerId server, long incarnation);

    /** Forgets a request that was answered. */
    void onEnd(RequestRun run);
}
