package org.jacinthwharf.process.router;

import com.google.common.flogger.FluentLogger;
import com.google.common.primitives.Longs;
import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.jacinthwharf.process.loop.EventLoop;

/**
 * Sends attempts and health probes to backend servers.
 *
 * <p>Thread-safe; listeners run on the event loop. Invariant: a request is written to at most one
 * connection; nothing is repeated here.
 */
final class BackendClient {
    /** Longest wait for a TCP connection. */
    static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** Idle pooled connections older than this may have gone silent and are not used again. */
    static final Duration IDLE_LIMIT = Duration.ofSeconds(5);

    /** Longest time that an attempt is waited for; above the longest deadline of a request. */
    static final Duration REQUEST_LIMIT = Duration.ofSeconds(130);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final HttpClient mClient;
    private final EventLoop mLoop;
    private final AtomicLong mConnectionTag = new AtomicLong();

    BackendClient(HttpClient client, EventLoop loop) {
        mClient = client;
        mLoop = loop;
    }

    /** An attempt that is under way. Thread-safe. */
    interface Attempt {
        /** Closes the attempt's connection, which cancels the request at a model engine. */
        void cancel(String reason);
    }

    /**
     * Sends one attempt.
     *
     * @param address {@code ip:port} of the backend server
     * @param resumeFrom sequence number at which a stream goes on
     * @param newConnection whether the attempt needs a connection of its own; non-idempotent calls
     *     do, since a pooled connection may be silent
     */
    Attempt send(
            String address,
            CallerRequest request,
            int attempt,
            OptionalLong resumeFrom,
            boolean newConnection,
            AttemptListener listener) {
        Request outgoing =
                mClient.newRequest("http://" + address + request.path())
                        .method(request.method())
                        .headers(h -> addHeaders(h, request, attempt, resumeFrom));
        if (!request.body().isEmpty()) {
            outgoing.body(
                    new ByteBufferRequestContent(
                            request.contentType(), request.body().asReadOnlyByteBuffer()));
        }
        if (newConnection) {
            // A destination of its own has no pooled connections.
            outgoing.tag("attempt-" + mConnectionTag.incrementAndGet());
            outgoing.headers(h -> h.put(HttpHeader.CONNECTION, "close"));
        }
        // The silence detector watches the request; the client's idle limit is for the pool.
        outgoing.idleTimeout(REQUEST_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
        AtomicBoolean written = new AtomicBoolean();
        outgoing.onRequestBegin(r -> written.set(true));
        outgoing.onResponseHeaders(
                r -> mLoop.execute(() -> listener.onHead(r.getStatus(), r.getHeaders())));
        outgoing.onResponseContentAsync((r, c, more) -> content(listener, r, c, more));
        outgoing.send(result -> mLoop.execute(() -> end(listener, result, written.get())));
        return reason -> outgoing.abort(new AttemptCancelledException(reason));
    }

    private void content(
            AttemptListener listener, Response response, Content.Chunk chunk, Runnable readMore) {
        ByteBuffer buffer = chunk.getByteBuffer();
        ByteString part = ByteString.copyFrom(buffer);
        mLoop.execute(() -> listener.onContent(part, readMore));
    }

    private static void end(AttemptListener listener, Result result, boolean written) {
        if (result.isSucceeded()) {
            listener.onEnd();
        } else {
            listener.onFailed(written, result.getFailure());
        }
    }

    private static void addHeaders(
            HttpFields.Mutable headers,
            CallerRequest request,
            int attempt,
            OptionalLong resumeFrom) {
        headers.put(RequestHeaders.REQUEST_ID, request.id().value());
        headers.put(RequestHeaders.ATTEMPT, Integer.toString(attempt));
        headers.put(RequestHeaders.CUSTOMER, request.customer().value());
        headers.put(RequestHeaders.IDEMPOTENT, Boolean.toString(request.idempotent()));
        request.key().ifPresent(k -> headers.put(RequestHeaders.REQUEST_KEY, k.value()));
        if (request.stream()) {
            headers.put(HttpHeader.ACCEPT, "text/event-stream");
        }
        resumeFrom.ifPresent(s -> headers.put(RequestHeaders.RESUME_FROM, Long.toString(s)));
    }

    /**
     * What a backend server answered to a health probe on a new connection.
     *
     * @param answered whether it answered in time with status 200
     * @param running whether it lists the request as running
     */
    record Health(boolean answered, boolean running) {}

    /** Asks a backend server on a new connection whether it is well and runs {@code request}. */
    void probe(String address, CallerRequest request, Duration timeout, Consumer<Health> result) {
        String uri = "http://" + address + "/health?request=" + request.id().value();
        HttpFields.Mutable answer = HttpFields.build();
        mClient.newRequest(uri)
                .tag("probe-" + mConnectionTag.incrementAndGet())
                .headers(h -> h.put(HttpHeader.CONNECTION, "close"))
                .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .onResponseHeaders(r -> answer.add(r.getHeaders()))
                .send(r -> mLoop.execute(() -> result.accept(toHealth(r, answer))));
    }

    private static Health toHealth(Result result, HttpFields headers) {
        boolean ok = result.isSucceeded() && result.getResponse().getStatus() == 200;
        return new Health(ok, ok && "true".equals(headers.get("X-Running")));
    }

    /** Returns the cost that a backend server stated, or a negative number if it stated none. */
    static long statedCost(HttpFields headers) {
        String text = headers.get(RequestHeaders.COST);
        Long cost = text == null ? null : Longs.tryParse(text);
        if (text != null && cost == null) {
            LOGGER.atInfo().log("event=cost_malformed value='%s'", text);
        }
        return cost == null ? -1 : cost;
    }

    /** The reason of an attempt that this router cancelled itself. */
    static final class AttemptCancelledException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        AttemptCancelledException(String reason) {
            super(reason, null, false, false);
        }
    }
}
