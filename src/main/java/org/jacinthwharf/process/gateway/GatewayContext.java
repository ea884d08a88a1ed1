package org.jacinthwharf.process.gateway;

import java.util.Optional;
import java.util.Set;
import org.jacinthwharf.connection.BufferBudget;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.moves.EvidenceSink.AttemptResult;
import org.jacinthwharf.request.dispatch.BackendServer;
import org.jacinthwharf.request.dispatch.DispatchRequest;

/** What the gateway process provides to a call. Called on the event loop only. */
interface GatewayContext {
    EventLoop loop();

    FleetMetrics metrics();

    GatewayActivity activity();

    HeaderCodec headerCodec();

    ServerPool pool();

    CrashGuard crashGuard();

    CrashCheck crashCheck();

    /** Returns the total time in which the event loop was held up. */
    long loopDelayNanos();

    /** Returns whether a server has stopped announcing itself. */
    boolean isSilent(BackendServer server);

    /** Returns the memory that all bodies and answers share. */
    BufferBudget bufferBudget();

    /** Returns when open calls are cut off, {@code Long.MAX_VALUE} unless the process stops. */
    long stopNanos();

    /** Requests a placement; the result is sent to {@code onPlaced} or {@code onRefused}. */
    void submit(ForwardedCall call, DispatchRequest request, Set<String> excluded);

    /** Removes the request of a call from the waiting requests. */
    void cancelWaiting(ForwardedCall call);

    /** Returns whether a server of a service can be used, other than the excluded ones. */
    boolean hasAvailableServer(String service, Set<String> excluded);

    /** Takes one retry from the retry budget of a service; returns false if it is empty. */
    boolean tryRetry(String service);

    /** Schedules the dispatch of waiting requests after a server has gained free capacity. */
    void onCapacityFreed();

    /** Applies what a server says about itself in the head of an answer. */
    void onAnswerHead(BackendServer server, ServerAnswer answer);

    /**
     * Records the start of an attempt, before the connection to the server is known to exist;
     * returns the version that it counts for, if any.
     */
    Optional<PoolId> onAttemptStart(BackendServer server, DispatchRequest request);

    /**
     * Records the proof that a server began a request; called once for each request.
     *
     * @param customer customer that the request is charged to, if any
     * @param nanos when the server began it
     */
    void onBegun(DispatchRequest request, Optional<String> customer, long nanos);

    /**
     * Records the end of an attempt.
     *
     * @param pool what its start returned
     * @param millis how long the answer took, or how long the attempt waited in vain
     */
    void onAttemptEnd(
            Optional<PoolId> pool, DispatchRequest request, AttemptResult result, long millis);

    /** Returns the service of a customer beyond that of the least served backlogged customer. */
    double leadTokens(CustomerId customer);

    /** Records that a call has ended. */
    void onEnd(ForwardedCall call);
}
