package org.jacinthwharf.process.router;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.function.IntSupplier;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.jacinthwharf.process.settings.Limits;

/**
 * The order of a planned stop.
 *
 * <p>Runs once, on a thread other than the event loop, and blocks until the ports are closed.
 */
final class PlannedStop {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration POLL = Duration.ofMillis(50);
    private static final long DRAIN_IDLE_MS = 500;

    private final Limits mLimits;
    private final Server mHttpServer;
    private final HttpClient mHttpClient;

    PlannedStop(Limits limits, Server httpServer, HttpClient httpClient) {
        mLimits = limits;
        mHttpServer = httpServer;
        mHttpClient = httpClient;
    }

    /**
     * Stops: waits for the load balancer to see that readiness is off, accepts no more connections,
     * waits for open requests, leaves the fleet.
     *
     * @param openRequests returns the number of requests that are not answered
     * @param leave gives up the lease
     * @param closeLinks closes the links to other processes
     */
    void run(IntSupplier openRequests, Runnable leave, Runnable closeLinks) {
        sleep(Duration.ofMillis(mLimits.drainDelayMs()));
        closeListener();
        long limit = System.nanoTime() + Duration.ofMillis(mLimits.maxDeadlineMs()).toNanos();
        while (openRequests.getAsInt() > 0 && System.nanoTime() < limit) {
            sleep(POLL);
        }
        leave.run();
        // Lets the last messages (slots returned, lease given up) leave the process.
        sleep(POLL);
        closeLinks.run();
        closeEdge();
    }

    private void closeListener() {
        try {
            ServerConnector connector = (ServerConnector) mHttpServer.getConnectors()[0];
            connector.close();
            // Connections without a request close soon; those with one ignore the idle time.
            connector.getConnectedEndPoints().forEach(e -> e.setIdleTimeout(DRAIN_IDLE_MS));
        } catch (RuntimeException e) {
            // Open requests finish all the same; the port closes with the process.
            LOGGER.atWarning().withCause(e).log("event=listener_close_failed");
        }
    }

    private void closeEdge() {
        try {
            mHttpServer.stop();
            mHttpClient.stop();
        } catch (Exception e) {
            // The process ends anyway; nothing waits for these resources.
            LOGGER.atWarning().withCause(e).log("event=edge_close_failed");
        }
    }

    private static void sleep(Duration time) {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
