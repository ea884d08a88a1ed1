package org.jacinthwharf.process.router;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.function.IntSupplier;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.jacinthwharf.process.settings.Limits;

/**
 * Shuts a router down without interrupting open requests.
 *
 * <p>Runs once, on a thread other than the event loop, and blocks until the ports are closed.
 */
final class GracefulShutdown {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    private static final long DRAIN_IDLE_TIMEOUT_MS = 500;

    private final Limits mLimits;
    private final Server mHttpServer;
    private final HttpClient mHttpClient;

    GracefulShutdown(Limits limits, Server httpServer, HttpClient httpClient) {
        mLimits = limits;
        mHttpServer = httpServer;
        mHttpClient = httpClient;
    }

    /**
     * Waits for the load balancer to notice that the router is not ready, stops accepting
     * connections, waits for open requests for at most the longest request deadline, and leaves the
     * fleet.
     *
     * @param openRequests returns the number of requests that are not answered yet
     * @param leave releases the lease
     * @param closeLinks closes the links to other processes
     */
    void run(IntSupplier openRequests, Runnable leave, Runnable closeLinks) {
        sleep(Duration.ofMillis(mLimits.drainDelayMs()));
        closeListener();
        long deadline = System.nanoTime() + Duration.ofMillis(mLimits.maxDeadlineMs()).toNanos();
        while (openRequests.getAsInt() > 0 && System.nanoTime() < deadline) {
            sleep(POLL_INTERVAL);
        }
        leave.run();
        // Gives the last messages (slot returns, lease release) time to be sent.
        sleep(POLL_INTERVAL);
        closeLinks.run();
        stopHttp();
    }

    private void closeListener() {
        try {
            ServerConnector connector = (ServerConnector) mHttpServer.getConnectors()[0];
            connector.close();
            // Idle connections close soon; connections with a request ignore the idle timeout.
            connector.getConnectedEndPoints().forEach(e -> e.setIdleTimeout(DRAIN_IDLE_TIMEOUT_MS));
        } catch (RuntimeException e) {
            // Open requests still finish; the port closes when the process exits.
            LOGGER.atWarning().withCause(e).log("event=listener_close_failed");
        }
    }

    private void stopHttp() {
        try {
            mHttpServer.stop();
            mHttpClient.stop();
        } catch (Exception e) {
            // The process is about to exit, which releases these resources.
            LOGGER.atWarning().withCause(e).log("event=edge_close_failed");
        }
    }

    private static void sleep(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
