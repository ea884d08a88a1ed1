package org.jacinthwharf.process.router;

import java.time.Duration;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Origin;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.client.transport.HttpDestination;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.settings.Endpoint;
import org.jacinthwharf.process.settings.Limits;

/**
 * Creates the HTTP server for callers and the HTTP client for backend servers, sized for a small
 * VM.
 *
 * <p>Thread-safe. Server and client share one thread pool: all decisions run on the event loop, so
 * the pool only transfers bytes.
 */
final class HttpFactory {
    private static final int MAX_THREADS = 24;
    private static final int MIN_THREADS = 8;
    private static final int THREAD_IDLE_TIMEOUT_MS = 30_000;
    // Caller connections without an in-flight request are closed after this time.
    private static final Duration CALLER_IDLE_TIMEOUT = Duration.ofSeconds(60);
    private static final int MAX_CONNECTIONS_PER_SERVER = 1_024;
    private static final int MAX_ANSWER_HEADER_BYTES = 64 << 10;
    private static final int ACCEPT_QUEUE_SIZE = 1_024;
    private static final Duration DESTINATION_IDLE_TIMEOUT = Duration.ofSeconds(10);

    private final QueuedThreadPool mPool;

    HttpFactory() {
        mPool = new QueuedThreadPool(MAX_THREADS, MIN_THREADS, THREAD_IDLE_TIMEOUT_MS);
        mPool.setName("http");
        mPool.setDaemon(true);
    }

    /** Creates a server for callers without starting it. */
    Server newServer(Endpoint listen, Limits limits, FleetMetrics metrics) {
        Server server = new Server(mPool);
        HttpConfiguration config = new HttpConfiguration();
        config.setRequestHeaderSize(limits.maxHeaderBytes());
        config.setSendServerVersion(false);
        config.setSendDateHeader(false);
        ServerConnector connector =
                new ServerConnector(server, 1, 1, new HttpConnectionFactory(config));
        connector.setHost(listen.ip());
        connector.setPort(listen.port());
        connector.setIdleTimeout(CALLER_IDLE_TIMEOUT.toMillis());
        connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
        server.addConnector(connector);
        server.setErrorHandler(new JettyErrorHandler(metrics));
        return server;
    }

    /** Creates a client for backend servers without starting it. */
    HttpClient newClient() {
        ClientConnector connector = new ResetDetectingConnector();
        connector.setSelectors(1);
        connector.setExecutor(mPool);
        connector.setConnectTimeout(BackendClient.CONNECT_TIMEOUT);
        HttpClient client = new HttpClient(new Transport(connector));
        client.setExecutor(mPool);
        // Applies to pooled connections; the silence detector watches in-flight requests.
        client.setIdleTimeout(BackendClient.CONNECTION_IDLE_TIMEOUT.toMillis());
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_SERVER);
        client.setDestinationIdleTimeout(DESTINATION_IDLE_TIMEOUT.toMillis());
        client.setMaxResponseHeadersSize(MAX_ANSWER_HEADER_BYTES);
        client.setFollowRedirects(false);
        client.setUserAgentField((HttpField) null);
        client.setDefaultRequestContentType(null);
        return client;
    }

    /**
     * Creates destinations that are new, not idle. Jetty takes the time of the last use of a new
     * destination for 0, so a sweep before its first request stopped it, and that request failed
     * with an exception.
     */
    private static final class Transport extends HttpClientTransportOverHTTP {
        Transport(ClientConnector connector) {
            super(connector);
        }

        @Override
        public Destination newDestination(Origin origin) {
            Destination destination = super.newDestination(origin);
            // Records the current time as that of the last use.
            ((HttpDestination) destination).stale();
            return destination;
        }
    }
}
