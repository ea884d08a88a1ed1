package org.jacinthwharf.process.router;

import com.google.common.base.Throwables;
import com.google.protobuf.ByteString;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.process.router.ParseResult.Parsed;
import org.jacinthwharf.process.router.ParseResult.Refused;
import org.jacinthwharf.process.settings.Limits;

/**
 * Receives requests of callers and announcements of backend servers from Jetty, and passes them to
 * the event loop.
 *
 * <p>Thread-safe. Invariant: requests that are malformed, too large or too slow are refused here
 * without any other effect. Runs inside a {@code SizeLimitHandler}, which limits the body size.
 */
final class CallerHandler extends Handler.Abstract.NonBlocking {
    private static final String ANNOUNCE_PATH = "/v1/announce";

    private final RequestParser mParser;
    private final Limits mLimits;
    private final EventLoop mLoop;
    private final FleetMetrics mMetrics;
    private final RequestSink mSink;

    /** Receives requests and announcements on the event loop. */
    interface RequestSink {
        /** Handles a valid request and answers it. */
        void onRequest(CallerRequest request, CallerExchange exchange);

        /** Handles the body of an announcement and answers it. */
        void onAnnouncement(ByteString body, CallerExchange exchange);

        /** Returns whether the router is draining; may be called from any thread. */
        boolean isDraining();
    }

    CallerHandler(
            RequestParser parser,
            Limits limits,
            EventLoop loop,
            FleetMetrics metrics,
            RequestSink sink) {
        mParser = parser;
        mLimits = limits;
        mLoop = loop;
        mMetrics = metrics;
        mSink = sink;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        JettyExchange exchange =
                new JettyExchange(request, response, callback, mLoop, mSink::isDraining);
        // A request is ended by its deadline, not by the idle timeout of its connection.
        request.addIdleTimeoutListener(t -> false);
        Content.Source.asByteArrayAsync(request, Integer.MAX_VALUE)
                .orTimeout(mLimits.bodyTimeoutMs(), TimeUnit.MILLISECONDS)
                .whenComplete((body, failure) -> onBody(request, exchange, body, failure));
        return true;
    }

    private void onBody(Request request, JettyExchange exchange, byte[] body, Throwable failure) {
        if (failure != null) {
            mLoop.execute(() -> refuse(exchange, toRefusal(failure), true));
            return;
        }
        ByteString bytes = ByteString.copyFrom(body);
        String path = request.getHttpURI().getPathQuery();
        if (path.equals(ANNOUNCE_PATH)) {
            mLoop.execute(() -> onAnnouncement(request.getMethod(), exchange, bytes));
            return;
        }
        ParseResult result =
                mParser.parse(request.getMethod(), path, request.getHeaders()::get, bytes);
        if (result instanceof Parsed p) {
            mLoop.execute(() -> mSink.onRequest(p.request(), exchange));
        } else {
            mLoop.execute(() -> refuse(exchange, (Refused) result, false));
        }
    }

    private void onAnnouncement(String method, JettyExchange exchange, ByteString body) {
        if (method.equals("POST")) {
            mSink.onAnnouncement(body, exchange);
        } else {
            RefusalReason reason = RefusalReason.METHOD_NOT_ALLOWED;
            refuse(exchange, new Refused(reason, "method: " + method), false);
        }
    }

    private Refused toRefusal(Throwable failure) {
        Throwable cause = Throwables.getRootCause(failure);
        if (cause instanceof TimeoutException) {
            return new Refused(
                    RefusalReason.BODY_TOO_SLOW,
                    "body did not arrive within " + mLimits.bodyTimeoutMs() + " ms");
        }
        if (cause instanceof HttpException h && h.getCode() == HttpStatus.PAYLOAD_TOO_LARGE_413) {
            return new Refused(
                    RefusalReason.BODY_TOO_LARGE,
                    "body is larger than " + mLimits.maxBodyBytes() + " bytes");
        }
        return new Refused(RefusalReason.MALFORMED_REQUEST, "body: " + cause.getMessage());
    }

    private void refuse(JettyExchange exchange, Refused refused, boolean closeConnection) {
        mMetrics.countRefusal(refused.reason());
        if (closeConnection) {
            exchange.closeAfterAnswer();
        }
        exchange.refuse(refused.reason(), true, refused.detail());
    }
}
