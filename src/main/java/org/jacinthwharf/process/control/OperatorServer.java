package org.jacinthwharf.process.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.handler.GracefulHandler;
import org.eclipse.jetty.util.Callback;

/**
 * Serves the operator interface over HTTP.
 *
 * <p>Thread-safe. Invariant: every request gets a response within {@link #RESPONSE_TIMEOUT_MS}
 * after its body was received; a command without an outcome by then is reported as unknown, not as
 * failed.
 */
final class OperatorServer implements AutoCloseable {
    static final long RESPONSE_TIMEOUT_MS = 10_000;

    // The largest command is a few hundred bytes.
    private static final int MAX_BODY_BYTES = 64 << 10;

    private final Server mServer;
    private final Function<OperatorRequest, CompletableFuture<OperatorResponse>> mApi;

    /**
     * Creates a server that is not started yet.
     *
     * @param api handles one request; called on any thread
     */
    OperatorServer(
            InetSocketAddress address,
            Function<OperatorRequest, CompletableFuture<OperatorResponse>> api) {
        mServer = new Server(address);
        mApi = api;
        mServer.setHandler(new GracefulHandler(new OperatorHandler()));
        mServer.setStopTimeout(RESPONSE_TIMEOUT_MS);
    }

    void start() throws IOException {
        try {
            mServer.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("cannot start the operator interface", e);
        }
    }

    /** Stops accepting requests and waits for the responses to those that are open. */
    @Override
    public void close() {
        try {
            mServer.stop();
        } catch (Exception e) {
            throw new IllegalStateException("cannot stop the operator interface", e);
        }
    }

    private final class OperatorHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback)
                throws IOException {
            byte[] body = Content.Source.asInputStream(request).readNBytes(MAX_BODY_BYTES + 1);
            if (body.length > MAX_BODY_BYTES) {
                String detail = "the body is larger than " + MAX_BODY_BYTES + " bytes";
                writeResponse(
                        response, callback, OperatorResponse.error(400, "body_too_large", detail));
                return true;
            }
            mApi.apply(toOperatorRequest(request, new String(body, StandardCharsets.UTF_8)))
                    .orTimeout(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .exceptionally(
                            e ->
                                    OperatorResponse.error(
                                            503,
                                            "outcome_unknown",
                                            "no outcome yet; send the command again with the same"
                                                    + " command id"))
                    .thenAccept(
                            operatorResponse ->
                                    writeResponse(response, callback, operatorResponse));
            return true;
        }
    }

    private static OperatorRequest toOperatorRequest(Request request, String body) {
        return new OperatorRequest(
                request.getMethod(),
                Request.getPathInContext(request),
                header(request, "Authorization"),
                header(request, "X-Command-Id"),
                header(request, "If-Match"),
                body);
    }

    private static String header(Request request, String name) {
        String value = request.getHeaders().get(name);
        return value == null ? "" : value;
    }

    private static void writeResponse(
            Response response, Callback callback, OperatorResponse operatorResponse) {
        response.setStatus(operatorResponse.status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        if (operatorResponse.status() == 401) {
            response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
        }
        operatorResponse
                .location()
                .ifPresent(l -> response.getHeaders().put(HttpHeader.LOCATION, l));
        Content.Sink.write(response, true, operatorResponse.body() + "\n", callback);
    }
}
