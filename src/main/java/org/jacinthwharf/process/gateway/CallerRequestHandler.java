package org.jacinthwharf.process.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jacinthwharf.connection.HttpCall;
import org.jacinthwharf.connection.RefusedUpload;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.LogText;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.request.dispatch.DispatchRequest;
import org.jacinthwharf.request.dispatch.FleetRetryBudget;
import org.jacinthwharf.request.dispatch.Prompt;
import org.jacinthwharf.request.dispatch.RouteTable;
import org.jacinthwharf.wire.generated.KeyHolder;
import org.jacinthwharf.wire.generated.Route;
import org.jacinthwharf.wire.generated.RouteKind;
import org.jacinthwharf.wire.generated.ServiceShare;

/**
 * Starts a call for each request of a caller: finds its route, checks its access key, chooses a
 * service and sets the deadline.
 *
 * <p>Used on the event loop only. Invariant: a request that the configuration in force does not
 * allow is refused here and is sent to no server.
 */
final class CallerRequestHandler implements CallerConnection.RequestHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final CustomerId ANONYMOUS = CustomerId.of("anonymous");

    /** After this time the caller may reach a gateway that has a configuration. */
    private static final long NOT_READY_RETRY_MILLIS = 500;

    /** Short, since another gateway can accept the request at once. */
    private static final long OTHER_RETRY_MILLIS = 50;

    /** Time in which the bodies that hold the memory are sent on, or found to have stalled. */
    private static final long UPLOAD_RETRY_MILLIS = 1_000;

    /** A day: sums with a longer timeout of a route or caller may overflow. */
    private static final long MAX_TIMEOUT_MILLIS = 86_400_000L;

    private static final CallerConnection.CallerListener NO_OP_LISTENER =
            new CallerConnection.CallerListener() {
                @Override
                public void onCallerGone() {}

                @Override
                public void onWritabilityChanged(boolean writable) {}
            };

    private final GatewayConfiguration mConfiguration;
    private final FleetRetryBudget mBudget;
    private final LoadShedder mLoadShedder;
    private final RandomGenerator mRandom;
    private final GatewayProcess mProcess;
    private final CallIds mCallIds = new CallIds();

    CallerRequestHandler(
            GatewayConfiguration configuration,
            FleetRetryBudget budget,
            LoadShedder loadShedder,
            RandomGenerator random,
            GatewayProcess process) {
        mConfiguration = configuration;
        mBudget = budget;
        mLoadShedder = loadShedder;
        mRandom = random;
        mProcess = process;
    }

    @Override
    public CallerConnection.CallerListener onRequest(
            FullHttpRequest request, CallerConnection caller) {
        HeaderCodec.CallerHeaders callerHeaders =
                mProcess.headerCodec().parseCallerHeaders(request.headers());
        mProcess.activity().onRequest(request.content().readableBytes());
        if (mProcess.isRefusing()) {
            return refuse(
                    request, caller, callerHeaders, RefusalReason.DRAINING, OTHER_RETRY_MILLIS);
        }
        Optional<RouteTable> routes = mConfiguration.routes();
        if (routes.isEmpty()) {
            return refuse(
                    request,
                    caller,
                    callerHeaders,
                    RefusalReason.NOT_READY,
                    NOT_READY_RETRY_MILLIS);
        }
        if (request.method().equals(HttpMethod.CONNECT)) {
            // The codec reads no further answer on a connection after a success of CONNECT.
            return refuse(request, caller, callerHeaders, RefusalReason.METHOD_NOT_ALLOWED, 0);
        }
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> route = routes.get().find(host, HttpCall.stripQuery(request.uri()));
        if (route.isEmpty()) {
            return refuse(request, caller, callerHeaders, RefusalReason.UNKNOWN_PATH, 0);
        }
        Optional<KeyHolder> holder = callerHeaders.accessKey().flatMap(routes.get()::findKeyHolder);
        boolean requiresAccessKey = routes.get().requiresAccessKey(route.get());
        if (requiresAccessKey && holder.isEmpty()) {
            return refuse(request, caller, callerHeaders, RefusalReason.UNKNOWN_ACCESS_KEY, 0);
        }
        if (route.get().getKind() == RouteKind.EVENT_STREAM && !mLoadShedder.accepts()) {
            return refuse(
                    request, caller, callerHeaders, RefusalReason.GATEWAY_BUSY, OTHER_RETRY_MILLIS);
        }
        ForwardedCall call =
                newCall(
                        request,
                        caller,
                        callerHeaders,
                        route.get(),
                        requiresAccessKey ? holder : Optional.empty());
        mProcess.startCall(call);
        return call;
    }

    @Override
    public void onRefusedUpload(RefusedUpload upload, CallerConnection caller) {
        RefusalReason reason =
                switch (upload.cause()) {
                    case TOO_LARGE -> RefusalReason.BODY_TOO_LARGE;
                    case NO_MEMORY -> RefusalReason.GATEWAY_BUSY;
                    case STALLED -> RefusalReason.BODY_TOO_SLOW;
                };
        refuse(
                upload.head(),
                caller,
                mProcess.headerCodec().parseCallerHeaders(upload.head().headers()),
                reason,
                upload.cause() == RefusedUpload.Cause.TOO_LARGE ? 0 : UPLOAD_RETRY_MILLIS);
    }

    @Override
    public void onFault(FullHttpRequest request, CallerConnection caller) {
        mProcess.metrics().countEvent("request_fault");
        caller.answer(emptyAnswer(RefusalReason.INTERNAL_FAULT));
    }

    private ForwardedCall newCall(
            FullHttpRequest request,
            CallerConnection caller,
            HeaderCodec.CallerHeaders callerHeaders,
            Route route,
            Optional<KeyHolder> holder) {
        long now = mProcess.loop().nowNanos();
        long timeoutMillis =
                Math.min(
                        callerHeaders.requestTimeoutMillis().orElse(MAX_TIMEOUT_MILLIS),
                        Math.min(route.getTimeoutMillis(), MAX_TIMEOUT_MILLIS));
        long deadlineNanos = now + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        long objectiveMillis =
                route.getObjectiveMillis() > 0
                        ? Math.min(route.getObjectiveMillis(), MAX_TIMEOUT_MILLIS)
                        : timeoutMillis;
        String service = chooseService(route);
        mBudget.onRequest(service, now);
        DispatchRequest dispatch =
                new DispatchRequest(
                        mCallIds.next(callerHeaders.requestId()),
                        holder.map(h -> CustomerId.of(h.getCustomer())).orElse(ANONYMOUS),
                        service,
                        route.getName(),
                        holder.filter(KeyHolder::hasPriority)
                                .map(KeyHolder::getPriority)
                                .orElse(route.getPriority()),
                        Prompt.of(callerHeaders.prompt()),
                        callerHeaders.promptTokens(),
                        callerHeaders.outputTokens(),
                        now,
                        objectiveMillis,
                        deadlineNanos);
        return new ForwardedCall(
                request,
                caller,
                route,
                dispatch,
                callerHeaders,
                holder.map(KeyHolder::getCustomer),
                deadlineNanos,
                mProcess);
    }

    private String chooseService(Route route) {
        if (route.getSharesCount() == 1) {
            return route.getShares(0).getService();
        }
        long total = route.getSharesList().stream().mapToLong(ServiceShare::getWeight).sum();
        long draw = mRandom.nextLong(total);
        for (ServiceShare s : route.getSharesList()) {
            draw -= s.getWeight();
            if (draw < 0) {
                return s.getService();
            }
        }
        throw new IllegalStateException(
                "share weights of route " + route.getName() + " do not add up");
    }

    private CallerConnection.CallerListener refuse(
            FullHttpRequest request,
            CallerConnection caller,
            HeaderCodec.CallerHeaders callerHeaders,
            RefusalReason reason,
            long retryMillis) {
        refuse((HttpRequest) request, caller, callerHeaders, reason, retryMillis);
        request.release();
        return NO_OP_LISTENER;
    }

    private void refuse(
            HttpRequest request,
            CallerConnection caller,
            HeaderCodec.CallerHeaders callerHeaders,
            RefusalReason reason,
            long retryMillis) {
        LOGGER.atInfo().log(
                "event=call_refused request=%s reason=%s host=%s path=%s",
                LogText.of(callerHeaders.requestId()),
                reason.code(),
                LogText.of(request.headers().get(HttpHeaderNames.HOST, "")),
                LogText.of(HttpCall.stripQuery(request.uri())));
        mProcess.metrics().countRefusal(reason);
        FullHttpResponse answer = emptyAnswer(reason);
        mProcess.headerCodec()
                .writeRefusal(
                        answer.headers(), callerHeaders.requestId(), reason.code(), retryMillis);
        caller.answer(answer);
    }

    private static FullHttpResponse emptyAnswer(RefusalReason reason) {
        return EmptyAnswers.of(reason.status());
    }

    /** Closes caller connections that exceed the idle timeout in force. */
    void closeIdle(ImmutableList<CallerConnection> callers, long nowNanos) {
        long limit =
                mConfiguration
                        .routes()
                        .map(r -> r.table().getLimits().getIdleTimeoutMillis())
                        .orElse(0L);
        if (limit > 0) {
            long oldest = nowNanos - TimeUnit.MILLISECONDS.toNanos(limit);
            callers.stream()
                    .filter(c -> c.idleSinceNanos() < oldest)
                    .forEach(CallerConnection::close);
        }
    }
}
