package org.jacinthwharf.process.router;

import org.jacinthwharf.connection.FirstByteTimes;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.moves.EvidenceSink;

/**
 * Gives a {@link RequestExecution} access to the components of the router process.
 *
 * <p>Used on the event loop only.
 */
interface RequestContext {
    /** Returns the incarnation of this router. */
    RouterIncarnation self();

    /** Returns the event loop of the process. */
    EventLoop loop();

    /** Returns the metrics of the process. */
    FleetMetrics metrics();

    /** Returns the client for backend servers. */
    BackendClient client();

    /** Returns the client for the claims that the control group stores. */
    ClaimClient claims();

    /** Returns the admission control that queues requests for slots. */
    AdmissionDriver admission();

    /** Returns the recorder of attempt results per version. */
    EvidenceSink evidence();

    /** Returns the times to first byte per route. */
    FirstByteTimes firstByteTimes();

    /** Chooses the pool (model and version) for the first attempt of the request. */
    PoolId choosePool(CallerRequest request);

    /** Chooses the pool (model and version) for a retry of the request. */
    PoolId choosePoolForRetry(CallerRequest request);

    /** Returns the estimated cost of the request in cost units. */
    double estimateCost(CallerRequest request);

    /** Records the measured cost of a completed request, in cost units. */
    void recordCost(CallerRequest request, double cost);

    /** Reports that an incarnation of a server refused a connection or did not answer a probe. */
    void reportUnreachable(BackendServerId server, long incarnation);

    /** Removes a request that has been answered from the open requests. */
    void onRequestEnded(RequestExecution execution);
}
