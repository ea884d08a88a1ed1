package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.process.metrics.RetryReason;
import org.jacinthwharf.request.dispatch.BackendServer;
import org.jacinthwharf.request.dispatch.DispatchRequest;
import org.jacinthwharf.request.dispatch.Placement;
import org.jacinthwharf.wire.generated.Route;
import org.jacinthwharf.wire.generated.RouteKind;

/**
 * Forwards one request of a caller, from its arrival to the end of its answer.
 *
 * <p>Used on the event loop only. Invariants: each request ends exactly once, with an answer or a
 * closed connection; a request that is not retryable is retried only if its server has not run it;
 * a refusal states "not run" only if no server can have run the request; an answer is forwarded
 * only if it has no other request's id, and a success only if it has this request's id and the
 * server's mark.
 */
final class ForwardedCall implements CallerConnection.CallerListener, ExchangeListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * Answers other than streams are buffered whole, so that a broken one can be retried; larger
     * ones are aborted.
     */
    private static final int MAX_BUFFERED_BYTES = 512 << 10;

    /** Number of rejected attempts after which a request is not retried. */
    private static final int MAX_REJECTIONS = 3;

    /** With less time remaining, no server can answer within the deadline. */
    private static final long MIN_REMAINING_MILLIS = 5;

    private static final int MISDIRECTED_REQUEST = 421;

    private final FullHttpRequest mRequest;
    private final CallerConnection mCaller;
    private final Route mRoute;
    private final DispatchRequest mDispatch;
    private final HeaderCodec.CallerHeaders mCallerHeaders;
    private final Optional<String> mCustomer;
    private final GatewayServices mServices;
    private final long mDeadlineNanos;
    private final Set<String> mExcludedServers = new HashSet<>();
    private final EventSplitter mEventSplitter;
    private Placement mPlacement;
    private ServerPool.Exchange mExchange;
    private HeaderCodec.AnswerHeaders mAnswerHeaders;
    private HttpResponse mServerHead;
    private CompositeByteBuf mBody;
    private int mFailedAttempts;
    private int mRejections;
    private boolean mMayHaveRun;
    private boolean mWaiting;
    private boolean mStreaming;
    private boolean mEnded;
    private long mSentNanos;
    private long mFirstByteNanos;
    private String mCause = "";

    /**
     * Creates a call that has not started; it releases the request at its end.
     *
     * @param customer customer that the request is charged to, empty if the route is anonymous
     * @param deadlineNanos latest time of the final answer
     */
    ForwardedCall(
            FullHttpRequest request,
            CallerConnection caller,
            Route route,
            DispatchRequest dispatch,
            HeaderCodec.CallerHeaders callerHeaders,
            Optional<String> customer,
            long deadlineNanos,
            GatewayServices services) {
        mRequest = request;
        mCaller = caller;
        mRoute = route;
        mDispatch = dispatch;
        mCallerHeaders = callerHeaders;
        mCustomer = customer;
        mDeadlineNanos = deadlineNanos;
        mServices = services;
        mEventSplitter = new EventSplitter(callerHeaders.lastEventId());
    }

    /** Requests a placement. */
    void start() {
        mWaiting = true;
        mServices.submit(this, mDispatch, mExcludedServers);
    }

    DispatchRequest dispatch() {
        return mDispatch;
    }

    /** Returns the server that the current attempt was sent to, if any. */
    Optional<BackendServer> server() {
        return Optional.ofNullable(mPlacement).map(Placement::server);
    }

    /** Returns whether the request may be run more than once. */
    private boolean isRetryable() {
        return mRoute.getKind() == RouteKind.IDEMPOTENT || isResumable();
    }

    private boolean isStream() {
        return mRoute.getKind() == RouteKind.EVENT_STREAM;
    }

    private boolean isResumable() {
        return isStream() && mRoute.getResumable();
    }

    private long now() {
        return mServices.loop().nowNanos();
    }

    // --- Sending --------------------------------------------------------------------------------

    /** Sends the request to the server of a placement. */
    void onPlaced(Placement placement) {
        mWaiting = false;
        long now = now();
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - now);
        if (mEnded || remainingMillis < MIN_REMAINING_MILLIS) {
            placement.end();
            mServices.onCapacityFreed();
            if (!mEnded) {
                endWithError(RefusalReason.DEADLINE_PASSED, 0);
            }
            return;
        }
        mPlacement = placement;
        mSentNanos = now;
        mServerHead = null;
        mAnswerHeaders = null;
        FullHttpRequest copy = newServerRequest(placement.server(), remainingMillis);
        mServices.onSent(placement.server(), mDispatch);
        mExchange = mServices.pool().send(placement.server().address(), copy, false, this);
    }

    private FullHttpRequest newServerRequest(BackendServer server, long remainingMillis) {
        HttpHeaders headers = new DefaultHttpHeaders().set(mRequest.headers());
        HopByHopHeaders.remove(headers);
        mServices
                .headerCodec()
                .writeToServer(
                        headers,
                        new HeaderCodec.ServerHeaders(
                                remainingMillis,
                                server.id(),
                                mCustomer,
                                mEventSplitter.lastEventId()));
        ByteBuf body = mRequest.content().retainedDuplicate();
        if (body.isReadable() || mRequest.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                mRequest.method(),
                mRequest.uri(),
                body,
                headers,
                new DefaultHttpHeaders());
    }

    // --- The server's answer --------------------------------------------------------------------

    @Override
    public boolean onHead(HttpResponse head) {
        HeaderCodec.AnswerHeaders answerHeaders =
                mServices.headerCodec().parseAnswerHeaders(head.headers());
        if (answerHeaders
                .requestId()
                .filter(id -> !id.equals(mCallerHeaders.requestId()))
                .isPresent()) {
            LOGGER.atInfo().log(
                    "event=answer_crossed request=%s server=%s answer_of=%s",
                    mCallerHeaders.requestId(),
                    mPlacement.server(),
                    answerHeaders.requestId().get());
            return false;
        }
        mAnswerHeaders = answerHeaders;
        mServerHead =
                new DefaultHttpResponse(head.protocolVersion(), head.status(), head.headers());
        answerHeaders
                .coldMillis()
                .ifPresent(
                        m ->
                                mPlacement
                                        .server()
                                        .setColdUntil(now() + TimeUnit.MILLISECONDS.toNanos(m)));
        if (mFirstByteNanos == 0) {
            mFirstByteNanos = now();
        }
        if (!mEnded && isSuccess() && !isTrusted()) {
            mExchange.cancel();
            mPlacement.server().onFailure(now());
            onFailed(RetryReason.CROSSED_ANSWER, "a success without the server's mark");
        }
        return true;
    }

    private boolean isSuccess() {
        int status = mServerHead.status().code();
        return status >= 200 && status < 300;
    }

    private boolean isTrusted() {
        return mAnswerHeaders.requestId().isPresent() && mAnswerHeaders.sealed();
    }

    private boolean isNotRun() {
        return mAnswerHeaders.notRun() || mServerHead.status().code() == MISDIRECTED_REQUEST;
    }

    @Override
    public void onBody(ByteBuf data) {
        if (mEnded || mServerHead == null) {
            return;
        }
        if (isStream() && isSuccess() && isTrusted()) {
            onStreamData(data);
            return;
        }
        if (mBody == null) {
            mBody = Unpooled.compositeBuffer();
        }
        if (mBody.readableBytes() + data.readableBytes() <= MAX_BUFFERED_BYTES) {
            mBody.addComponent(true, data.retain());
        } else {
            abort("answer is too large");
        }
    }

    private void onStreamData(ByteBuf data) {
        mPlacement.onFirstEvent(now());
        ByteBuf events = isResumable() ? mEventSplitter.feed(data) : data.retain();
        if (!events.isReadable()) {
            events.release();
            return;
        }
        if (!mStreaming) {
            mStreaming = true;
            mFirstByteNanos = now();
            mCaller.startStream(newStreamHead());
        }
        mCaller.write(events);
    }

    private HttpResponse newStreamHead() {
        HttpHeaders headers = new DefaultHttpHeaders().set(mServerHead.headers());
        HopByHopHeaders.remove(headers);
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, mServerHead.status(), headers);
    }

    @Override
    public void onReadComplete() {
        if (mStreaming && !mEnded) {
            mCaller.flush();
            if (!mCaller.isWritable()) {
                mExchange.setReading(false);
            }
        }
    }

    @Override
    public void onWritable(boolean writable) {
        if (mExchange != null) {
            mExchange.setReading(writable);
        }
    }

    @Override
    public void onEnd(CompletionStatus status, String cause) {
        if (mEnded) {
            releasePlacement(Optional.empty());
            return;
        }
        switch (status) {
            case COMPLETE -> onComplete();
            case NOT_CONNECTED -> {
                mPlacement.server().onUnreachable(now());
                onRejected(RetryReason.CONNECT_FAILED, cause);
            }
            case BROKEN -> {
                mPlacement.server().onFailure(now());
                onFailed(RetryReason.CONNECTION_CLOSED, cause);
            }
            default -> throw new IllegalStateException("unknown completion status " + status);
        }
    }

    private void onComplete() {
        int status = mServerHead.status().code();
        if (isNotRun()) {
            if (status == MISDIRECTED_REQUEST) {
                mPlacement.server().onUnreachable(now());
            }
            onRejected(RetryReason.BACKEND_NOT_RUN, "status " + status);
        } else if (status >= 500) {
            mPlacement.server().onFailure(now());
            onServerError(status);
        } else {
            mPlacement.server().onSuccess(now());
            releasePlacement(Optional.of(true));
            if (mStreaming && !isSuccess()) {
                abort("status " + status);
            } else if (mStreaming) {
                ByteBuf rest = mEventSplitter.takeRemainder();
                if (rest.isReadable()) {
                    mCaller.write(rest);
                }
                end("answered", status, mCaller::endStream);
            } else {
                forwardAnswer(status);
            }
        }
    }

    /** Forwards the server's complete answer, whatever its status. */
    private void forwardAnswer(int status) {
        ByteBuf body = mBody == null ? Unpooled.EMPTY_BUFFER : mBody.retain();
        HttpHeaders headers = new DefaultHttpHeaders().set(mServerHead.headers());
        HopByHopHeaders.remove(headers);
        FullHttpResponse answer =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        mServerHead.status(),
                        body,
                        headers,
                        new DefaultHttpHeaders());
        end("answered", status, () -> mCaller.answer(answer));
    }

    private void onServerError(int status) {
        mFailedAttempts++;
        mMayHaveRun = true;
        releasePlacement(Optional.of(false));
        if (tryAcquireRetry()) {
            retry(RetryReason.BACKEND_ERROR, "status " + status);
        } else if (mStreaming) {
            abort("status " + status);
        } else {
            forwardAnswer(status);
        }
    }

    // --- Failures -------------------------------------------------------------------------------

    private void onRejected(RetryReason reason, String cause) {
        mRejections++;
        releasePlacement(Optional.empty());
        boolean retry =
                mRejections < MAX_REJECTIONS
                        && mDeadlineNanos > now()
                        && mServices.tryRetry(mDispatch.service());
        if (retry) {
            retry(reason, cause);
        } else {
            mCause = cause;
            endWithError(RefusalReason.BACKEND_REFUSED, 0);
        }
    }

    private void onFailed(RetryReason reason, String cause) {
        mFailedAttempts++;
        mMayHaveRun = true;
        releasePlacement(Optional.of(false));
        if (tryAcquireRetry()) {
            retry(reason, cause);
        } else if (mStreaming) {
            abort(cause);
        } else {
            mCause = cause;
            endWithError(RefusalReason.BACKEND_FAILED, 0);
        }
    }

    private boolean tryAcquireRetry() {
        return isRetryable()
                && mFailedAttempts < mRoute.getAttempts()
                && mDeadlineNanos - now() > TimeUnit.MILLISECONDS.toNanos(MIN_REMAINING_MILLIS)
                && mServices.tryRetry(mDispatch.service());
    }

    private void retry(RetryReason reason, String cause) {
        mServices.metrics().countRetry(reason);
        LOGGER.atInfo().log(
                "event=call_repeated request=%s reason=%s cause='%s' runs=%d turned_down=%d",
                mCallerHeaders.requestId(), reason.code(), cause, mFailedAttempts, mRejections);
        releaseBody();
        mEventSplitter.dropPartialEvent();
        mWaiting = true;
        mServices.submit(this, mDispatch, mExcludedServers);
    }

    /** Is called when the dispatcher refuses the request. */
    void onRefused(RefusalReason reason, long retryMillis) {
        mWaiting = false;
        endWithError(reason, retryMillis);
    }

    /** Ends the request with an error, which states "not run" only if no server can have run it. */
    private void endWithError(RefusalReason reason, long retryMillis) {
        if (mStreaming) {
            abort(reason.code());
            return;
        }
        boolean notRun = !mMayHaveRun;
        int status =
                notRun
                        ? HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                        : reason == RefusalReason.DEADLINE_PASSED
                                ? HttpResponseStatus.GATEWAY_TIMEOUT.code()
                                : HttpResponseStatus.BAD_GATEWAY.code();
        mServices.metrics().countRefusal(reason);
        FullHttpResponse answer =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.EMPTY_BUFFER);
        mServices
                .headerCodec()
                .writeRefusal(
                        answer.headers(),
                        mCallerHeaders.requestId(),
                        reason.code(),
                        notRun ? retryMillis : 0);
        mCause = reason.code() + (mCause.isEmpty() ? "" : ": " + mCause);
        end(notRun ? "refused" : "failed", status, () -> mCaller.answer(answer));
    }

    /** Closes the caller's connection, because the answer cannot be completed. */
    private void abort(String cause) {
        mCause = cause;
        cancelExchange();
        end("broken_off", 0, mCaller::abort);
    }

    // --- Deadline and the caller ----------------------------------------------------------------

    /**
     * Checks the deadline, and retries a retryable request whose server no longer announces itself.
     */
    void tick(long nowNanos, boolean serverSilent) {
        if (mEnded) {
            return;
        }
        if (nowNanos >= mDeadlineNanos) {
            onDeadline();
        } else if (serverSilent && mExchange != null && isRetryable()) {
            mExchange.cancel();
            onFailed(RetryReason.CONNECTION_SILENT, "the server is not heard from");
        }
    }

    private void onDeadline() {
        if (mWaiting) {
            mWaiting = false;
            mServices.cancelWaiting(this);
            endWithError(RefusalReason.DEADLINE_PASSED, 0);
            return;
        }
        mMayHaveRun = true;
        cancelExchange();
        endWithError(RefusalReason.DEADLINE_PASSED, 0);
    }

    @Override
    public void onCallerGone() {
        if (mEnded) {
            return;
        }
        mServices.metrics().countEvent("caller_gone");
        if (mWaiting) {
            mServices.cancelWaiting(this);
        }
        cancelExchange();
        end("caller_gone", 0, () -> {});
    }

    /** Cancels the current attempt, unless the request must not be interrupted. */
    private void cancelExchange() {
        if (mExchange == null) {
            return;
        }
        if (isStream() || isRetryable()) {
            mExchange.cancel();
            releasePlacement(Optional.empty());
        }
    }

    private void releasePlacement(Optional<Boolean> success) {
        mExchange = null;
        if (mPlacement != null) {
            Placement placement = mPlacement;
            mPlacement = null;
            mExcludedServers.add(placement.server().id());
            placement.end();
            long measuredNanos =
                    success.isPresent() && mFirstByteNanos > mSentNanos ? mFirstByteNanos : now();
            mServices.onAttemptEnd(
                    placement.server(),
                    mDispatch,
                    success,
                    TimeUnit.NANOSECONDS.toMillis(measuredNanos - mSentNanos));
            mServices.onCapacityFreed();
        }
    }

    private void releaseBody() {
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
    }

    private void end(String outcome, int status, Runnable writeAnswer) {
        mEnded = true;
        long now = now();
        double seconds = (now - mDispatch.arrivalNanos()) / 1e9;
        mServices.metrics().observeRequest(mRoute.getName(), outcome, seconds);
        LOGGER.atInfo().log(
                "event=call_ended request=%s route=%s customer=%s service=%s outcome=%s"
                        + " status=%d runs=%d turned_down=%d wait_ms=%d first_ms=%d total_ms=%d"
                        + " servers=%s cause='%s'",
                mCallerHeaders.requestId(),
                mRoute.getName(),
                mCustomer.orElse("-"),
                mDispatch.service(),
                outcome,
                status,
                mFailedAttempts,
                mRejections,
                millisSinceArrival(mSentNanos),
                millisSinceArrival(mFirstByteNanos),
                millisSinceArrival(now),
                mPlacement == null ? mExcludedServers : mPlacement.server(),
                mCause);
        writeAnswer.run();
        releaseBody();
        mEventSplitter.dropPartialEvent();
        mRequest.release();
        mServices.onEnd(this);
    }

    private long millisSinceArrival(long nanos) {
        return nanos == 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(nanos - mDispatch.arrivalNanos());
    }
}
