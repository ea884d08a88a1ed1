package org.jacinthwharf.process.metrics;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.jacinthwharf.connection.HttpAnswer;

/**
 * Serves the admin port of a process: {@code /metrics}, {@code /live}, {@code /ready} and {@code
 * /status}.
 *
 * <p>Thread-safe. Invariant: no request waits longer than {@link #ANSWER_TIMEOUT_MS} for the event
 * loop; after that, {@code /live} and {@code /status} answer 503.
 */
public final class AdminServer implements AutoCloseable {
    static final long ANSWER_TIMEOUT_MS = 2_000;

    private static final String TEXT_CONTENT_TYPE = "text/plain; charset=utf-8";

    private final Server mServer;
    private final FleetMetrics mMetrics;
    private final BooleanSupplier mReady;
    private final Supplier<CompletableFuture<String>> mStatus;

    /**
     * Creates a server that is not started yet.
     *
     * @param ready whether the process accepts requests; called on any thread
     * @param status returns the status as JSON, created on the event loop; called on any thread
     */
    public AdminServer(
            InetSocketAddress address,
            FleetMetrics metrics,
            BooleanSupplier ready,
            Supplier<CompletableFuture<String>> status) {
        mServer = new Server(address);
        mMetrics = metrics;
        mReady = ready;
        mStatus = status;
        mServer.setHandler(new AdminHandler());
    }

    /**
     * Starts listening.
     *
     * @throws IOException if the port cannot be bound
     */
    public void start() throws IOException {
        try {
            mServer.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("cannot start the admin server", e);
        }
    }

    /** Stops listening. */
    @Override
    public void close() {
        try {
            mServer.stop();
        } catch (Exception e) {
            throw new IllegalStateException("cannot stop the admin server", e);
        }
    }

    private final class AdminHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            switch (Request.getPathInContext(request)) {
                case "/metrics" -> answerMetrics(response, callback);
                case "/live" ->
                        answerFromLoop(response, callback, mStatus.get().thenApply(s -> "live\n"));
                case "/ready" -> {
                    boolean ready = mReady.getAsBoolean();
                    answer(
                            response,
                            callback,
                            ready ? 200 : 503,
                            ready ? "ready\n" : "not ready\n");
                }
                case "/status" -> answerFromLoop(response, callback, mStatus.get());
                default -> answer(response, callback, 404, "unknown path\n");
            }
            return true;
        }
    }

    private void answerMetrics(Response response, Callback callback) {
        HttpAnswer answer = MetricsText.answer(mMetrics);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.contentType());
        response.write(true, ByteBuffer.wrap(answer.body()), callback);
    }

    private static void answerFromLoop(
            Response response, Callback callback, CompletableFuture<String> body) {
        body.orTimeout(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .whenComplete(
                        (text, failure) -> {
                            boolean ok = failure == null;
                            answer(response, callback, ok ? 200 : 503, ok ? text : "no answer\n");
                        });
    }

    private static void answer(Response response, Callback callback, int status, String body) {
        response.setStatus(status);
        String type = body.startsWith("{") ? "application/json" : TEXT_CONTENT_TYPE;
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
        Content.Sink.write(response, true, body, callback);
    }
}
