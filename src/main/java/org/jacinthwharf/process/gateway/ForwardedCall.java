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
 * One request of a caller, from its arrival to the end of its answer.
 *
 * <p>Used on the event loop only. Invariants: exactly one answer is given; a request that must not
 * be repeated is sent again only if its server has not run it; a refusal that says "not run" is
 * given only while no server may have run it; an answer is handed on only if it names this request
 * and, as a success, bears the server's mark.
 */
final class ForwardedCall implements CallerConnection.CallerLeft, ExchangeListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Answers up to this size are handed on whole, so that a broken one can be repeated. */
    private static final int MAX_WHOLE_BYTES = 512 << 10;

    /** Sends that servers turned down, beyond which the caller is refused. */
    private static final int MAX_TURNED_DOWN = 3;

    /** With less time than this left, no server can answer in time. */
    private static final long LEAST_TIME_MILLIS = 5;

    private static final int MISDIRECTED = 421;

    private final FullHttpRequest mRequest;
    private final CallerConnection mCaller;
    private final Route mRoute;
    private final DispatchRequest mDispatch;
    private final EdgeDialect.CallerHead mHead;
    private final Optional<String> mCustomer;
    private final GatewayServices mServices;
    private final long mDeadlineNanos;
    private final Set<String> mExcluded = new HashSet<>();
    private final EventSplitter mEvents;
    private Placement mPlacement;
    private ServerPool.Exchange mExchange;
    private EdgeDialect.AnswerHead mAnswerHead;
    private HttpResponse mServerHead;
    private CompositeByteBuf mBody;
    private int mRuns;
    private int mTurnedDown;
    private boolean mMayHaveRun;
    private boolean mWaiting;
    private boolean mStreaming;
    private boolean mEnded;
    private long mSentNanos;
    private long mFirstNanos;
    private String mCause = "";

    /**
     * Creates a call that has not started; it releases the request at its end.
     *
     * @param customer who pays, unless the route is anonymous
     * @param deadlineNanos when the caller gets a final answer at the latest
     */
    ForwardedCall(
            FullHttpRequest request,
            CallerConnection caller,
            Route route,
            DispatchRequest dispatch,
            EdgeDialect.CallerHead head,
            Optional<String> customer,
            long deadlineNanos,
            GatewayServices services) {
        mRequest = request;
        mCaller = caller;
        mRoute = route;
        mDispatch = dispatch;
        mHead = head;
        mCustomer = customer;
        mDeadlineNanos = deadlineNanos;
        mServices = services;
        mEvents = new EventSplitter(head.lastEventId());
    }

    /** Asks for a place. */
    void start() {
        mWaiting = true;
        mServices.submit(this, mDispatch, mExcluded);
    }

    DispatchRequest dispatch() {
        return mDispatch;
    }

    /** Returns the server that the request is at, if it was sent to one. */
    Optional<BackendServer> server() {
        return Optional.ofNullable(mPlacement).map(Placement::server);
    }

    /** Returns whether the request may run more than once. */
    private boolean isRepeatable() {
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

    /** Sends the request to the server of a place. */
    void onPlaced(Placement placement) {
        mWaiting = false;
        long now = now();
        long left = TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - now);
        if (mEnded || left < LEAST_TIME_MILLIS) {
            placement.end();
            mServices.onPlaceFree();
            if (!mEnded) {
                giveUp(RefusalReason.DEADLINE_PASSED, 0);
            }
            return;
        }
        mPlacement = placement;
        mSentNanos = now;
        mServerHead = null;
        mAnswerHead = null;
        FullHttpRequest copy = copyFor(placement.server(), left);
        mServices.onSent(placement.server(), mDispatch);
        mExchange = mServices.pool().send(placement.server().address(), copy, false, this);
    }

    private FullHttpRequest copyFor(BackendServer server, long leftMillis) {
        HttpHeaders headers = new DefaultHttpHeaders().set(mRequest.headers());
        HopHeaders.remove(headers);
        mServices
                .dialect()
                .writeToServer(
                        headers,
                        new EdgeDialect.ServerHead(
                                leftMillis, server.id(), mCustomer, mEvents.lastEventId()));
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
        EdgeDialect.AnswerHead said = mServices.dialect().readAnswer(head.headers());
        if (said.requestId().filter(id -> !id.equals(mHead.requestId())).isPresent()) {
            LOGGER.atInfo().log(
                    "event=answer_crossed request=%s server=%s answer_of=%s",
                    mHead.requestId(), mPlacement.server(), said.requestId().get());
            return false;
        }
        mAnswerHead = said;
        mServerHead =
                new DefaultHttpResponse(head.protocolVersion(), head.status(), head.headers());
        said.coldMillis()
                .ifPresent(
                        m -> mPlacement.server().setCold(now() + TimeUnit.MILLISECONDS.toNanos(m)));
        if (mFirstNanos == 0) {
            mFirstNanos = now();
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
        return mAnswerHead.requestId().isPresent() && mAnswerHead.sealed();
    }

    private boolean isNotRun() {
        return mAnswerHead.notRun() || mServerHead.status().code() == MISDIRECTED;
    }

    @Override
    public void onBody(ByteBuf part) {
        if (mEnded || mServerHead == null) {
            return;
        }
        if (isStream() && isSuccess() && isTrusted()) {
            onStreamPart(part);
            return;
        }
        if (mBody == null) {
            mBody = Unpooled.compositeBuffer();
        }
        if (mBody.readableBytes() + part.readableBytes() <= MAX_WHOLE_BYTES) {
            mBody.addComponent(true, part.retain());
        } else {
            breakOff("answer is too large");
        }
    }

    private void onStreamPart(ByteBuf part) {
        mPlacement.onFirstEvent(now());
        ByteBuf events = isResumable() ? mEvents.feed(part) : part.retain();
        if (!events.isReadable()) {
            events.release();
            return;
        }
        if (!mStreaming) {
            mStreaming = true;
            mFirstNanos = now();
            mCaller.startStream(callerHead());
        }
        mCaller.write(events);
    }

    private HttpResponse callerHead() {
        HttpHeaders headers = new DefaultHttpHeaders().set(mServerHead.headers());
        HopHeaders.remove(headers);
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, mServerHead.status(), headers);
    }

    @Override
    public void onBatchEnd() {
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
            releasePlace(Optional.empty());
            return;
        }
        switch (status) {
            case COMPLETE -> onComplete();
            case NOT_CONNECTED -> {
                mPlacement.server().onUnreachable(now());
                onTurnedDown(RetryReason.CONNECT_FAILED, cause);
            }
            case BROKEN -> {
                mPlacement.server().onFailure(now());
                onFailed(RetryReason.CONNECTION_CLOSED, cause);
            }
            default -> throw new IllegalStateException("unknown ending " + status);
        }
    }

    private void onComplete() {
        int status = mServerHead.status().code();
        if (isNotRun()) {
            if (status == MISDIRECTED) {
                mPlacement.server().onUnreachable(now());
            }
            onTurnedDown(RetryReason.BACKEND_NOT_RUN, "status " + status);
        } else if (status >= 500) {
            mPlacement.server().onFailure(now());
            onServerError(status);
        } else {
            mPlacement.server().onSuccess(now());
            releasePlace(Optional.of(true));
            if (mStreaming && !isSuccess()) {
                breakOff("status " + status);
            } else if (mStreaming) {
                ByteBuf rest = mEvents.rest();
                if (rest.isReadable()) {
                    mCaller.write(rest);
                }
                end("answered", status, mCaller::endStream);
            } else {
                handOn(status);
            }
        }
    }

    /** Hands on the server's whole answer, whatever its status. */
    private void handOn(int status) {
        ByteBuf body = mBody == null ? Unpooled.EMPTY_BUFFER : mBody.retain();
        HttpHeaders headers = new DefaultHttpHeaders().set(mServerHead.headers());
        HopHeaders.remove(headers);
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
        mRuns++;
        mMayHaveRun = true;
        releasePlace(Optional.of(false));
        if (mayRepeat()) {
            repeat(RetryReason.BACKEND_ERROR, "status " + status);
        } else if (mStreaming) {
            breakOff("status " + status);
        } else {
            handOn(status);
        }
    }

    // --- Failures -------------------------------------------------------------------------------

    private void onTurnedDown(RetryReason reason, String cause) {
        mTurnedDown++;
        releasePlace(Optional.empty());
        boolean again =
                mTurnedDown < MAX_TURNED_DOWN
                        && mDeadlineNanos > now()
                        && mServices.tryRepeat(mDispatch.service());
        if (again) {
            repeat(reason, cause);
        } else {
            mCause = cause;
            giveUp(RefusalReason.BACKEND_REFUSED, 0);
        }
    }

    private void onFailed(RetryReason reason, String cause) {
        mRuns++;
        mMayHaveRun = true;
        releasePlace(Optional.of(false));
        if (mayRepeat()) {
            repeat(reason, cause);
        } else if (mStreaming) {
            breakOff(cause);
        } else {
            mCause = cause;
            giveUp(RefusalReason.BACKEND_FAILED, 0);
        }
    }

    private boolean mayRepeat() {
        return isRepeatable()
                && mRuns < mRoute.getAttempts()
                && mDeadlineNanos - now() > TimeUnit.MILLISECONDS.toNanos(LEAST_TIME_MILLIS)
                && mServices.tryRepeat(mDispatch.service());
    }

    private void repeat(RetryReason reason, String cause) {
        mServices.metrics().countRetry(reason);
        LOGGER.atInfo().log(
                "event=call_repeated request=%s reason=%s cause='%s' runs=%d turned_down=%d",
                mHead.requestId(), reason.code(), cause, mRuns, mTurnedDown);
        releaseBody();
        mEvents.dropPartialEvent();
        mWaiting = true;
        mServices.submit(this, mDispatch, mExcluded);
    }

    /** Takes note that no server can take the request now. */
    void onRefused(RefusalReason reason, long retryMillis) {
        mWaiting = false;
        giveUp(reason, retryMillis);
    }

    /** Ends the request; the answer says "not run" only if that is true. */
    private void giveUp(RefusalReason reason, long retryMillis) {
        if (mStreaming) {
            breakOff(reason.code());
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
                .dialect()
                .writeRefusal(
                        answer.headers(),
                        mHead.requestId(),
                        reason.code(),
                        notRun ? retryMillis : 0);
        mCause = reason.code() + (mCause.isEmpty() ? "" : ": " + mCause);
        end(notRun ? "refused" : "failed", status, () -> mCaller.answer(answer));
    }

    /** Ends an answer that cannot be completed. */
    private void breakOff(String cause) {
        mCause = cause;
        stopServer();
        end("broken_off", 0, mCaller::abort);
    }

    // --- Time and the caller --------------------------------------------------------------------

    /** Looks at the deadline, and at a server that stopped to announce itself. */
    void tick(long nowNanos, boolean serverSilent) {
        if (mEnded) {
            return;
        }
        if (nowNanos >= mDeadlineNanos) {
            onDeadline();
        } else if (serverSilent && mExchange != null && isRepeatable()) {
            mExchange.cancel();
            onFailed(RetryReason.CONNECTION_SILENT, "the server is not heard from");
        }
    }

    private void onDeadline() {
        if (mWaiting) {
            mWaiting = false;
            mServices.cancelWaiting(this);
            giveUp(RefusalReason.DEADLINE_PASSED, 0);
            return;
        }
        mMayHaveRun = true;
        stopServer();
        giveUp(RefusalReason.DEADLINE_PASSED, 0);
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
        stopServer();
        end("caller_gone", 0, () -> {});
    }

    /** Lets the server stop, unless the request must not be broken off. */
    private void stopServer() {
        if (mExchange == null) {
            return;
        }
        if (isStream() || isRepeatable()) {
            mExchange.cancel();
            releasePlace(Optional.empty());
        }
    }

    private void releasePlace(Optional<Boolean> good) {
        mExchange = null;
        if (mPlacement != null) {
            Placement placement = mPlacement;
            mPlacement = null;
            mExcluded.add(placement.server().id());
            placement.end();
            long from = good.isPresent() && mFirstNanos > mSentNanos ? mFirstNanos : now();
            mServices.onServerEnd(
                    placement.server(),
                    mDispatch,
                    good,
                    TimeUnit.NANOSECONDS.toMillis(from - mSentNanos));
            mServices.onPlaceFree();
        }
    }

    private void releaseBody() {
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
    }

    private void end(String outcome, int status, Runnable write) {
        mEnded = true;
        long now = now();
        double seconds = (now - mDispatch.arrivalNanos()) / 1e9;
        mServices.metrics().observeRequest(mRoute.getName(), outcome, seconds);
        LOGGER.atInfo().log(
                "event=call_ended request=%s route=%s customer=%s service=%s outcome=%s"
                        + " status=%d runs=%d turned_down=%d wait_ms=%d first_ms=%d total_ms=%d"
                        + " servers=%s cause='%s'",
                mHead.requestId(),
                mRoute.getName(),
                mCustomer.orElse("-"),
                mDispatch.service(),
                outcome,
                status,
                mRuns,
                mTurnedDown,
                millisSinceArrival(mSentNanos),
                millisSinceArrival(mFirstNanos),
                millisSinceArrival(now),
                mPlacement == null ? mExcluded : mPlacement.server(),
                mCause);
        write.run();
        releaseBody();
        mEvents.dropPartialEvent();
        mRequest.release();
        mServices.onEnd(this);
    }

    private long millisSinceArrival(long nanos) {
        return nanos == 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(nanos - mDispatch.arrivalNanos());
    }
}
