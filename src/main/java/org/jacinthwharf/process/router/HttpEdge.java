package org.jacinthwharf.process.router;

import java.time.Duration;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
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
 * The HTTP server for callers and the HTTP client towards backend servers, sized for a small VM.
 *
 * <p>Thread-safe. Both share one thread pool, since decisions run on the event loop and the pool
 * only moves bytes.
 */
final class HttpEdge {
    private static final int MAX_THREADS = 24;
    private static final int MIN_THREADS = 8;
    private static final int THREAD_IDLE_MS = 30_000;
    // A caller's connection without a request is closed after this time.
    private static final Duration CALLER_IDLE = Duration.ofSeconds(60);
    private static final int MAX_CONNECTIONS_PER_SERVER = 1_024;
    private static final int ACCEPT_QUEUE = 1_024;
    private static final Duration DESTINATION_IDLE = Duration.ofSeconds(10);

    private final QueuedThreadPool mPool;

    HttpEdge() {
        mPool = new QueuedThreadPool(MAX_THREADS, MIN_THREADS, THREAD_IDLE_MS);
        mPool.setName("http");
        mPool.setDaemon(true);
    }

    /** Returns a server for callers that is not started. */
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
        connector.setIdleTimeout(CALLER_IDLE.toMillis());
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        server.addConnector(connector);
        server.setErrorHandler(new ErrorAnswers(metrics));
        return server;
    }

    /** Returns a client that is not started. */
    HttpClient newClient() {
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(1);
        connector.setExecutor(mPool);
        connector.setConnectTimeout(BackendClient.CONNECT_TIMEOUT);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setExecutor(mPool);
        // Applies to pooled connections; a request under way is watched by the silence detector.
        client.setIdleTimeout(BackendClient.IDLE_LIMIT.toMillis());
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_SERVER);
        client.setDestinationIdleTimeout(DESTINATION_IDLE.toMillis());
        client.setFollowRedirects(false);
        client.setUserAgentField((HttpField) null);
        client.setDefaultRequestContentType(null);
        return client;
    }
}
