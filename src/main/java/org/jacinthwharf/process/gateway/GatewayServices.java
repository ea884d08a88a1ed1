package org.jacinthwharf.process.gateway;

import java.util.Optional;
import java.util.Set;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.request.dispatch.BackendServer;
import org.jacinthwharf.request.dispatch.DispatchRequest;

/** What a request needs of the process it runs in. Called on the event loop only. */
interface GatewayServices {
    EventLoop loop();

    FleetMetrics metrics();

    EdgeDialect dialect();

    ServerPool pool();

    /** Asks for a place; the call hears of it by {@code onPlaced} or {@code onRefused}. */
    void submit(ForwardedCall call, DispatchRequest request, Set<String> excluded);

    /** Gives up waiting for a place. */
    void cancelWaiting(ForwardedCall call);

    /** Returns whether the request may be sent once more. */
    boolean tryRepeat(String service);

    /** Takes note that a place is free. */
    void onPlaceFree();

    /** Takes note that a request was sent to a server. */
    void onSent(BackendServer server, DispatchRequest request);

    /** Takes note how a server answered; empty if its answer says nothing about its version. */
    void onServerEnd(
            BackendServer server, DispatchRequest request, Optional<Boolean> good, long millis);

    /** Takes note that a call has ended. */
    void onEnd(ForwardedCall call);
}
