package org.jacinthwharf.process.router;

import com.google.common.base.Strings;
import com.google.common.flogger.FluentLogger;
import com.google.common.primitives.Longs;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Promise;
import org.jacinthwharf.connection.HeadSeam;
import org.jacinthwharf.connection.HeadSyntax;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.request.outcome.AttemptId;

/**
 * Sends attempts and health probes to backend servers.
 *
 * <p>Thread-safe; listeners run on the event loop. Invariant: an attempt is written to at most one
 * connection; this class never retries.
 */
final class BackendClient {
    /** Timeout for establishing a TCP connection. */
    static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** Pooled connections that are idle for longer may be silently broken and are not reused. */
    static final Duration CONNECTION_IDLE_TIMEOUT = Duration.ofSeconds(5);

    /**
     * Timeout of an attempt, also while its server sends; exceeds the longest deadline of a
     * request.
     */
    static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(130);

    /** Larger status codes are invalid (RFC 9110, section 15). */
    private static final int MAX_STATUS = 599;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final HttpClient mClient;
    private final EventLoop mLoop;
    private final Duration mRequestTimeout;
    private final OpenAttempts mOpenAttempts;
    private final AtomicLong mConnectionTag = new AtomicLong();

    BackendClient(HttpClient client, EventLoop loop, Duration requestTimeout) {
        mClient = client;
        mLoop = loop;
        mOpenAttempts = new OpenAttempts(loop);
        mRequestTimeout = requestTimeout;
    }

    /** An in-flight attempt. Thread-safe. */
    interface Attempt {
        /** Closes the connection of the attempt, which makes a model engine cancel the request. */
        void cancel(String reason);
    }

    /**
     * Sends one attempt.
     *
     * @param address {@code ip:port} of the backend server
     * @param resumeFrom sequence number from which the server resumes a stream
     * @param newConnection whether to open a new connection; non-idempotent calls require it, since
     *     a pooled connection may be silently broken
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
            // Jetty pools connections per tag, so a unique tag forces a new connection.
            outgoing.tag("attempt-" + mConnectionTag.incrementAndGet());
            outgoing.headers(h -> h.put(HttpHeader.CONNECTION, "close"));
        }
        // Overrides the client's idle timeout, which is meant for pooled connections; the silence
        // detector watches the request.
        outgoing.idleTimeout(mRequestTimeout.toMillis(), TimeUnit.MILLISECONDS);
        outgoing.timeout(mRequestTimeout.toMillis(), TimeUnit.MILLISECONDS);
        AtomicBoolean requestBegun = new AtomicBoolean();
        outgoing.onRequestBegin(r -> requestBegun.set(true));
        AttemptId id = new AttemptId(request.id(), attempt);
        AtomicReference<Response> foreignHead = new AtomicReference<>();
        outgoing.onResponseHeaders(r -> forwardHead(listener, r, id, foreignHead));
        outgoing.onResponseContentAsync((r, c, more) -> forwardContent(listener, r, c, more));
        OpenAttempts.OpenAttempt open = mOpenAttempts.add(outgoing, listener);
        outgoing.send(
                result -> {
                    if (!open.end()) {
                        return;
                    }
                    if (foreignHead.get() == null) {
                        onResult(listener, result, requestBegun.get());
                    } else {
                        mLoop.execute(() -> acceptHead(listener, foreignHead.get()));
                    }
                });
        return reason -> outgoing.abort(new AttemptCancelledException(reason));
    }

    /**
     * Forwards the head of an answer. The answer to another attempt is forwarded only when its
     * connection has been closed, since the next answer on it may be that to this attempt, and no
     * other attempt may be sent on it.
     */
    private void forwardHead(
            AttemptListener listener,
            Response response,
            AttemptId attempt,
            AtomicReference<Response> foreignHead) {
        if (hasSeam(response)) {
            response.abort(new IOException("the head of an answer within another"));
        } else if (!hasValidStatusLine(response)) {
            response.abort(
                    new IOException(
                            "malformed status line: "
                                    + response.getVersion()
                                    + " "
                                    + response.getStatus()));
        } else if (!HeadSyntax.isDecodable(
                response.getHeaders().getValuesList(HttpHeader.TRANSFER_ENCODING))) {
            response.abort(new IOException("unknown transfer codings"));
        } else if (HttpStatus.isInformational(response.getStatus())) {
            // The client passes these on only after an abort, or if it does not know the status.
            response.abort(new IOException("informational status " + response.getStatus()));
        } else if (AttemptReceiver.parseAttemptId(response.getHeaders())
                .filter(attempt::equals)
                .isEmpty()) {
            foreignHead.set(response);
            response.abort(new IOException("an answer to another attempt"));
        } else {
            mLoop.execute(() -> acceptHead(listener, response));
        }
    }

    private static boolean hasSeam(Response response) {
        return HeadSeam.isIn(Strings.nullToEmpty(response.getReason()))
                || response.getHeaders().stream()
                        .anyMatch(
                                h -> HeadSeam.isIn(h.getName(), Strings.nullToEmpty(h.getValue())));
    }

    /** Returns whether a status line is one of RFC 9112; the client accepts other ones, too. */
    private static boolean hasValidStatusLine(Response response) {
        HttpVersion version = response.getVersion();
        return (version == HttpVersion.HTTP_1_1 || version == HttpVersion.HTTP_1_0)
                && response.getStatus() <= MAX_STATUS;
    }

    private static void acceptHead(AttemptListener listener, Response response) {
        if (listener.isFinished()) {
            return;
        }
        listener.onHeaders(response.getStatus(), response.getHeaders());
        Connection connection = response.getRequest().getConnection();
        if (listener.isFinished() && connection != null) {
            // An answer to another attempt; the next one on this connection may be to this one.
            connection.close();
        }
    }

    private void forwardContent(
            AttemptListener listener, Response response, Content.Chunk content, Runnable readMore) {
        ByteBuffer buffer = content.getByteBuffer();
        ByteString chunk = ByteString.copyFrom(buffer);
        mLoop.execute(
                () -> {
                    if (listener.isFinished()) {
                        response.abort(new AttemptCancelledException("the answer is not awaited"));
                    } else {
                        listener.onContent(chunk, readMore);
                    }
                });
    }

    /**
     * Forwards the result of an attempt, once it is known whether the server has outlived it: a
     * crash closes connections in the same way as the end of an answer without length or chunks.
     */
    private void onResult(AttemptListener listener, Result result, boolean requestBegun) {
        if (result.isSucceeded() && endsWithConnection(result)) {
            mClient.resolveDestination(result.getRequest())
                    .newConnection(
                            Promise.from(
                                    connection -> {
                                        connection.close();
                                        mLoop.execute(listener::onEnd);
                                    },
                                    failure ->
                                            mLoop.execute(() -> listener.onFailed(true, failure))));
        } else {
            mLoop.execute(() -> forwardResult(listener, result, requestBegun));
        }
    }

    private static boolean endsWithConnection(Result result) {
        Response response = result.getResponse();
        int status = response.getStatus();
        return status != HttpStatus.NO_CONTENT_204
                && status != HttpStatus.NOT_MODIFIED_304
                && !HttpMethod.HEAD.is(result.getRequest().getMethod())
                && !response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
                && !response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
    }

    private static void forwardResult(
            AttemptListener listener, Result result, boolean requestMayHaveBeenSent) {
        if (result.isSucceeded()) {
            listener.onEnd();
        } else {
            listener.onFailed(requestMayHaveBeenSent, result.getFailure());
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
     * The result of a health probe on a new connection.
     *
     * @param answered whether the server answered within the timeout with status 200
     * @param running whether the server lists the request as running
     */
    record Health(boolean answered, boolean running) {}

    /** Probes on a new connection whether a backend server is healthy and runs {@code request}. */
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

    /** Returns the cost that a backend server reported, or a negative number if there is none. */
    static long reportedCost(HttpFields headers) {
        String text = headers.get(RequestHeaders.COST);
        Long cost = text == null ? null : Longs.tryParse(text);
        if (text != null && cost == null) {
            LOGGER.atInfo().log("event=cost_malformed value='%s'", text);
        }
        return cost == null ? -1 : cost;
    }

    /** The failure of an attempt that this router cancelled. */
    static final class AttemptCancelledException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        AttemptCancelledException(String reason) {
            super(reason, null, false, false);
        }
    }
}
