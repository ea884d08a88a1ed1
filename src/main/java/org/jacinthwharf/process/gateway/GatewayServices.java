package org.jacinthwharf.process.gateway;

import java.util.Optional;
import java.util.Set;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.request.dispatch.BackendServer;
import org.jacinthwharf.request.dispatch.DispatchRequest;

/** The services that the gateway process provides to a call. Called on the event loop only. */
interface GatewayServices {
    EventLoop loop();

    FleetMetrics metrics();

    HeaderCodec headerCodec();

    ServerPool pool();

    /** Requests a placement; the result is sent to {@code onPlaced} or {@code onRefused}. */
    void submit(ForwardedCall call, DispatchRequest request, Set<String> excluded);

    /** Removes a call from the waiting requests. */
    void cancelWaiting(ForwardedCall call);

    /** Takes a retry from the retry budget; returns false if it is empty. */
    boolean tryRetry(String service);

    /** Schedules the dispatch of waiting requests after a server has gained free capacity. */
    void onCapacityFreed();

    /** Records that a request was sent to a server. */
    void onSent(BackendServer server, DispatchRequest request);

    /** Records the result of an attempt; empty if it is no evidence about the version. */
    void onAttemptEnd(
            BackendServer server, DispatchRequest request, Optional<Boolean> success, long millis);

    /** Records that a call has ended. */
    void onEnd(ForwardedCall call);
}
