package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.connection.ServerAddress;
import org.jacinthwharf.id.LogText;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.process.metrics.RetryReason;
import org.jacinthwharf.process.moves.EvidenceSink.AttemptResult;
import org.jacinthwharf.request.dispatch.BackendServer;
import org.jacinthwharf.request.dispatch.DispatchRequest;
import org.jacinthwharf.request.dispatch.Placement;
import org.jacinthwharf.wire.generated.Route;
import org.jacinthwharf.wire.generated.RouteKind;

/**
 * Forwards one request of a caller, from its arrival to the end of its answer.
 *
 * <p>Used on the event loop only. Invariants: each request ends exactly once, with an answer or a
 * closed connection; a request that must not run twice is retried only if its server did not run
 * it; a refusal states "not run" only if no server can have run the request; an answer with the id
 * of another request is never forwarded, nor one without an id on a connection that has served
 * another request; a successful answer must carry the id of this request and the server's seal; an
 * exception in a step of the call ends this call, and no other.
 */
final class ForwardedCall implements CallerConnection.CallerListener, ExchangeListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Maximum number of attempts that did not run, failed connects included. */
    private static final int MAX_NOT_RUN_ATTEMPTS = 3;

    /** With less time remaining, no server can answer within the deadline. */
    private static final long MIN_REMAINING_MILLIS = 5;

    /**
     * A server that has sent a part of the answer more recently than this runs, whether it
     * announces itself or not.
     */
    private static final long ANSWERING_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Short, since another gateway can accept the request at once. */
    private static final long DRAINING_RETRY_MILLIS = 50;

    /** Time in which a few connections may be replaced. */
    private static final long REPEATED_ID_RETRY_MILLIS = 100;

    /** The server knows the deadline; this covers the network. */
    private static final Duration FINISH_TIME_AFTER_DEADLINE = Duration.ofSeconds(1);

    private final FullHttpRequest mRequest;
    private final CallerConnection mCaller;
    private final Route mRoute;
    private final DispatchRequest mDispatch;
    private final CallSubjects mSubjects;
    private final LossCheck mLossCheck;
    private final HeaderCodec.CallerHeaders mCallerHeaders;
    private final Optional<String> mCustomer;
    private final GatewayContext mContext;
    private final long mDeadlineNanos;
    private final Set<String> mTriedServers = new HashSet<>();
    private final StreamRelay mStream;
    private Placement mPlacement;

    /** Null before the first attempt, and while no attempt is under way. */
    private Attempt mAttempt;

    /** The exchange that the last answer came in; empty before the first one. */
    private Optional<ConnectionUse> mUse = Optional.empty();

    /** Answer to the current attempt; null before its head. */
    private ServerAnswer mAnswer;

    private int mFailedAttempts;
    private int mNotRunAttempts;
    private boolean mMayHaveRun;
    private boolean mWaiting;

    /** Whether the body of the current attempt's answer is passed on as events. */
    private boolean mRelaysEvents;

    /** Whether the answer of the current attempt has begun: its first event has arrived. */
    private boolean mAnswerBegun;

    /** Whether the request is sent although it, or a segment of its prompt, crashed servers. */
    private boolean mRetest;

    private boolean mBegun;
    private boolean mEnded;
    private boolean mAnswered;
    private boolean mReleased;
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
            GatewayContext context) {
        mRequest = request;
        mCaller = caller;
        mRoute = route;
        mDispatch = dispatch;
        mSubjects = new CallSubjects(request, callerHeaders.requestId(), dispatch);
        mLossCheck = new LossCheck(mSubjects, context.crashCheck(), context.crashGuard());
        mCallerHeaders = callerHeaders;
        mCustomer = customer;
        mDeadlineNanos = deadlineNanos;
        mContext = context;
        mStream =
                new StreamRelay(
                        caller,
                        callerHeaders.lastEventId(),
                        route.getResumable() || callerHeaders.lastEventId().isPresent(),
                        context.bufferBudget());
    }

    // --- Faults ---------------------------------------------------------------------------------

    /** Runs a step of the call; an exception in it ends the call. */
    private void step(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            onFault(e);
        }
    }

    /** Ends the call whatever its state, and gives back all that it holds. */
    private void onFault(RuntimeException fault) {
        LOGGER.atSevere().withCause(fault).log(
                "event=call_fault request=%s", LogText.of(mCallerHeaders.requestId()));
        boolean mayHaveRun = mMayHaveRun || (mAttempt != null && mAttempt.isWriteBegun());
        mEnded = true;
        contain(() -> mContext.metrics().countEvent("call_fault"));
        if (mWaiting) {
            mWaiting = false;
            contain(() -> mContext.cancelWaiting(this));
        }
        contain(this::cancelAttempt);
        contain(() -> releasePlacement(AttemptResult.INCONCLUSIVE));
        if (!mAnswered) {
            mAnswered = true;
            contain(() -> answerFault(mayHaveRun));
        }
        contain(this::release);
    }

    private void answerFault(boolean mayHaveRun) {
        if (mStream.isStarted()) {
            mCaller.abort();
            return;
        }
        RefusalReason reason =
                mayHaveRun ? RefusalReason.BACKEND_FAILED : RefusalReason.INTERNAL_FAULT;
        mCaller.answer(EmptyAnswers.of(reason.status()));
    }

    /** Runs a step of the end of a call that has failed; the next steps follow in any case. */
    private void contain(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).log(
                    "event=call_fault_at_end request=%s", LogText.of(mCallerHeaders.requestId()));
        }
    }

    // --- Sending --------------------------------------------------------------------------------

    /** Requests a placement, unless the request is known to crash servers. */
    void start() {
        step(this::submit);
    }

    private void submit() {
        if (mContext.crashGuard().isBlocked(mSubjects)) {
            endBlocked();
            return;
        }
        mWaiting = true;
        mContext.submit(this, mDispatch, mTriedServers);
    }

    DispatchRequest dispatch() {
        return mDispatch;
    }

    /** Returns the server that the current attempt was sent to, if any. */
    Optional<BackendServer> server() {
        return Optional.ofNullable(mPlacement).map(Placement::server);
    }

    /** Returns whether the request may be run more than once. */
    private boolean isSafeToRerun() {
        return mRoute.getKind() == RouteKind.IDEMPOTENT || isResumable();
    }

    private boolean isStream() {
        return mRoute.getKind() == RouteKind.EVENT_STREAM;
    }

    private boolean isResumable() {
        return isStream() && mRoute.getResumable();
    }

    private long now() {
        return mContext.loop().nowNanos();
    }

    /** Sends the request to the server of a placement. */
    void onPlaced(Placement placement) {
        mWaiting = false;
        if (mEnded) {
            placement.end();
            mContext.onCapacityFreed();
            return;
        }
        mPlacement = placement;
        step(() -> send(placement));
    }

    private void send(Placement placement) {
        if (remainingMillis() < MIN_REMAINING_MILLIS) {
            returnPlacement(placement);
            endWithError(RefusalReason.DEADLINE_PASSED, 0);
            return;
        }
        if (!isSafeToRerun() && mDeadlineNanos > mContext.stopNanos()) {
            // The planned stop may cut it off, and the caller could not repeat it.
            returnPlacement(placement);
            endWithError(RefusalReason.DRAINING, DRAINING_RETRY_MILLIS);
            return;
        }
        RequestId id = RequestId.of(mCallerHeaders.requestId());
        if (!mContext.pool().canSend(placement.server().address(), id)) {
            returnPlacement(placement);
            endWithError(RefusalReason.REQUEST_ID_REPEATED, REPEATED_ID_RETRY_MILLIS);
            return;
        }
        CrashGuard.Admission admission = mContext.crashGuard().admit(mSubjects);
        if (admission == CrashGuard.Admission.BLOCKED) {
            returnPlacement(placement);
            endBlocked();
            return;
        }
        mRetest = admission == CrashGuard.Admission.RETEST;
        mAnswerBegun = false;
        mRelaysEvents = false;
        mSentNanos = now();
        mAnswer = null;
        ServerAddress address = placement.server().address();
        mAttempt =
                new Attempt(
                        this,
                        mContext.onAttemptStart(placement.server(), mDispatch),
                        new AttemptTimes(mSentNanos, mContext.loopDelayNanos()));
        mAttempt.send(l -> mContext.pool().send(address, () -> requestToWrite(placement), id, l));
    }

    /** Gives back a placement that was not used. */
    private void returnPlacement(Placement placement) {
        mPlacement = null;
        placement.end();
        mContext.onCapacityFreed();
    }

    /** Returns the request to write now, or empty if its deadline has passed meanwhile. */
    private Optional<FullHttpRequest> requestToWrite(Placement placement) {
        FullHttpRequest[] request = {null};
        step(
                () -> {
                    if (!mEnded && remainingMillis() >= MIN_REMAINING_MILLIS) {
                        request[0] = newServerRequest(placement);
                    }
                });
        return Optional.ofNullable(request[0]);
    }

    private FullHttpRequest newServerRequest(Placement placement) {
        return ServerRequests.create(
                mRequest,
                mContext.headerCodec(),
                new HeaderCodec.ServerHeaders(
                        remainingMillis(),
                        placement.server().id(),
                        mCustomer,
                        mStream.lastEventId(),
                        placement.cacheSource().map(s -> s.address().toString())));
    }

    private long remainingMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - now());
    }

    // --- The server's answer --------------------------------------------------------------------

    @Override
    public boolean onHead(HttpResponse head, ConnectionUse use) {
        boolean[] own = {true};
        step(() -> own[0] = acceptHead(head, use));
        return own[0];
    }

    private boolean acceptHead(HttpResponse head, ConnectionUse use) {
        onHeard();
        HeaderCodec.AnswerHeaders answerHeaders =
                mContext.headerCodec().parseAnswerHeaders(head.headers());
        if (answerHeaders
                .requestId()
                .filter(id -> !id.equals(mCallerHeaders.requestId()))
                .isPresent()) {
            LOGGER.atInfo().log(
                    "event=answer_crossed request=%s server=%s connection=%s answer_of=%s",
                    LogText.of(mCallerHeaders.requestId()),
                    mPlacement.server(),
                    use,
                    LogText.of(answerHeaders.requestId().get()));
            return false;
        }
        if (answerHeaders.requestId().isEmpty() && !use.isFirst() && !mEnded) {
            // It may be a copy of the answer to an earlier request on the connection.
            failAttempt(RetryReason.CROSSED_ANSWER, "an answer without an id on a used connection");
            return true;
        }
        mUse = Optional.of(use);
        mAnswer = new ServerAnswer(head, answerHeaders, mContext.bufferBudget());
        mContext.onAnswerHead(mPlacement.server(), mAnswer);
        if (mFirstByteNanos == 0) {
            mFirstByteNanos = now();
        }
        if (!isStream()) {
            mAttempt.times().onAnswer(now());
        }
        if (!mEnded && mAnswer.isSuccess()) {
            acceptSuccess();
        }
        return true;
    }

    private void onHeard() {
        mAttempt.times().onHeard(now(), mContext.loopDelayNanos());
    }

    private void acceptSuccess() {
        if (!mAnswer.hasIdAndSeal()) {
            failAttempt(RetryReason.CROSSED_ANSWER, "a success without the server's mark");
            return;
        }
        StreamRelay.Form form = isStream() ? mStream.form(mAnswer) : StreamRelay.Form.WHOLE;
        mRelaysEvents = form == StreamRelay.Form.EVENTS;
        if (form == StreamRelay.Form.FOREIGN) {
            failAttempt(RetryReason.FOREIGN_EVENT, "an answer that does not continue the stream");
        }
    }

    /** Ends the current attempt, since what the server sends is not the answer. */
    private void failAttempt(RetryReason reason, String cause) {
        mAttempt.cancel();
        mPlacement.server().onFailure(now());
        onFailed(reason, cause);
    }

    @Override
    public void onBody(ByteBuf data) {
        step(() -> acceptBody(data));
    }

    private void acceptBody(ByteBuf data) {
        onHeard();
        mContext.activity().onAnswerBytes(data.readableBytes());
        if (mEnded || mAnswer == null) {
            return;
        }
        if (mRelaysEvents) {
            onStreamData(data);
        } else if (!mAnswer.append(data)) {
            mAttempt.cancel();
            releasePlacement(AttemptResult.FAILED);
            mMayHaveRun = true;
            mCause = "answer is too large";
            endWithError(RefusalReason.BACKEND_FAILED, 0);
        }
    }

    private void onStreamData(ByteBuf data) {
        mPlacement.onFirstEvent(now());
        boolean first = !mStream.isStarted();
        AttemptTimes times = mAttempt.times();
        if (mStream.onData(mAnswer, data)) {
            if (first) {
                mFirstByteNanos = now();
            }
            times.onAnswer(now());
            onAnswerBegun();
        }
        mStream.misfit().ifPresent(m -> failAttempt(RetryReason.FOREIGN_EVENT, m));
    }

    private void onAnswerBegun() {
        if (!mAnswerBegun) {
            mAnswerBegun = true;
            mContext.crashGuard().onAnswerBegun(mSubjects);
            onBegun(isStream() ? now() : mSentNanos);
        }
    }

    private void onBegun(long nanos) {
        if (!mBegun) {
            mBegun = true;
            mContext.onBegun(mDispatch, mCustomer, nanos);
        }
    }

    @Override
    public void onReadComplete() {
        step(this::flush);
    }

    private void flush() {
        if (mStream.isStarted() && !mEnded) {
            mCaller.flush();
            if (!mCaller.isWritable() && mAttempt != null) {
                mAttempt.setReading(false);
            }
        }
    }

    @Override
    public void onWritabilityChanged(boolean writable) {
        if (mAttempt != null) {
            mAttempt.setReading(writable);
        }
    }

    @Override
    public void onEnd(ExchangeEnd end, String cause) {
        step(() -> endAttempt(end, cause));
    }

    private void endAttempt(ExchangeEnd end, String cause) {
        if (mEnded) {
            if (end == ExchangeEnd.BROKEN) {
                recordLost(checkServer());
            }
            endLate(end);
            return;
        }
        switch (end) {
            case COMPLETE -> {
                if (!mAnswer.endsWithConnection(mRequest.method())) {
                    onComplete();
                } else if (isStreamCutAtClose()) {
                    onConnectionLost("the stream ended inside an event", checkServer());
                } else {
                    checkEndByClose();
                }
            }
            case NOT_CONNECTED -> {
                mPlacement.server().onUnreachable(now());
                onNotRun(RetryReason.CONNECT_FAILED, cause);
            }
            case NOT_SENT -> {
                releasePlacement(AttemptResult.INCONCLUSIVE);
                endWithError(RefusalReason.DEADLINE_PASSED, 0);
            }
            case BROKEN -> onConnectionLost(cause, checkServer());
            default -> throw new IllegalStateException("unknown end of an exchange: " + end);
        }
    }

    /** Ends an attempt that has outlived its call. */
    private void endLate(ExchangeEnd end) {
        if (end == ExchangeEnd.COMPLETE) {
            releasePlacement(
                    mAnswer.isNotRun() ? AttemptResult.INCONCLUSIVE : resultOf(mAnswer.status()));
        } else {
            giveUpAttempt();
        }
    }

    private static AttemptResult resultOf(int status) {
        return status < 400 ? AttemptResult.COMPLETE : AttemptResult.FAILED;
    }

    /**
     * Returns whether a stream was closed inside an event, or before the first one. An attempt that
     * resumes a stream may have nothing to add.
     */
    private boolean isStreamCutAtClose() {
        return mRelaysEvents && (mStream.isInsideEvent() || !(mAnswerBegun || mStream.isStarted()));
    }

    /**
     * Ends an answer that ended with its connection, unless its server has crashed, since the
     * operating system closes the connections of a crashed process in the same way, or has reset it
     * right after the close. An answer whose server cannot be reached counts as cut, since a caller
     * can repeat a failure, but not detect a truncated success.
     */
    private void checkEndByClose() {
        Placement placement = mPlacement;
        CompletableFuture<CrashCheck.Result> check = checkServer();
        check.thenAccept(result -> step(() -> onEndChecked(placement, result, check)))
                .exceptionally(mLossCheck::logFailure);
    }

    private void onEndChecked(
            Placement placement,
            CrashCheck.Result result,
            CompletableFuture<CrashCheck.Result> check) {
        if (mPlacement != placement) {
            return; // The call has given up this attempt.
        }
        if (mEnded) {
            giveUpAttempt();
        } else if (result == CrashCheck.Result.ACCEPTED && mAttempt.tryCloseInOrder()) {
            onComplete();
        } else {
            onConnectionLost("cut off by the server, new connection " + result.code(), check);
        }
    }

    private CompletableFuture<CrashCheck.Result> checkServer() {
        return mLossCheck.checkServer(mPlacement.server());
    }

    /**
     * Repeats a request whose connection was lost, unless it may have crashed the server.
     *
     * @param check what a new connection to the server meets
     */
    private void onConnectionLost(String cause, CompletableFuture<CrashCheck.Result> check) {
        mPlacement.server().onFailure(now());
        CompletableFuture<Boolean> suspect = recordLost(check);
        if (!mContext.crashGuard().mustCheckBeforeRepeat(mSubjects)) {
            onFailed(RetryReason.CONNECTION_CLOSED, cause);
            return;
        }
        mMayHaveRun = true;
        releasePlacement(AttemptResult.FAILED);
        suspect.thenAccept(isSuspect -> step(() -> onLossExplained(isSuspect, cause)))
                .exceptionally(mLossCheck::logFailure);
    }

    private CompletableFuture<Boolean> recordLost(CompletableFuture<CrashCheck.Result> check) {
        return mLossCheck.record(
                new CrashGuard.LostAttempt(
                        mPlacement.server(), mAnswerBegun, mAnswer != null, now()),
                check);
    }

    private void onLossExplained(boolean suspect, String cause) {
        if (mEnded) {
            return;
        }
        if (!suspect) {
            onFailed(RetryReason.CONNECTION_CLOSED, cause);
            return;
        }
        mFailedAttempts++;
        endFailed("the server crashed: " + cause);
    }

    private void onComplete() {
        int status = mAnswer.status();
        if (mAnswer.isNotRun()) {
            if (mAnswer.isMisdirected()) {
                mPlacement.server().onUnreachable(now());
            }
            onNotRun(RetryReason.BACKEND_NOT_RUN, "status " + status);
        } else if (status >= 500) {
            mPlacement.server().onFailure(now());
            onServerError(status);
        } else if (mStream.isStarted() && !mRelaysEvents) {
            onFailed(RetryReason.FOREIGN_EVENT, "status " + status + " for the rest of a stream");
        } else if (mRelaysEvents && mStream.isInsideEvent() && !mStream.isUntypedWhole(mAnswer)) {
            mPlacement.server().onFailure(now());
            onFailed(RetryReason.STREAM_TRUNCATED, "the stream ended inside an event");
        } else {
            onWholeAnswer(status);
        }
    }

    private void onWholeAnswer(int status) {
        mPlacement.server().onSuccess(now());
        mContext.crashGuard().onAnswerWhole(mSubjects);
        if (mAnswer.isSuccess()) {
            onAnswerBegun();
        }
        releasePlacement(resultOf(status));
        if (mStream.isStarted()) {
            end("answered", status, mStream::end);
            return;
        }
        if (mStream.isInsideEvent()) {
            mAnswer.setBody(mStream.takeWhole());
        }
        forwardAnswer(status);
    }

    /** Forwards the server's complete answer, whatever its status. */
    private void forwardAnswer(int status) {
        FullHttpResponse answer = mAnswer.toCallerAnswer();
        end("answered", status, () -> mCaller.answer(answer));
    }

    private void onServerError(int status) {
        countFailedAttempt();
        if (tryAcquireRetry(mFailedAttempts)) {
            retry(RetryReason.BACKEND_ERROR, "status " + status);
        } else if (mStream.isStarted()) {
            abort("status " + status);
        } else {
            forwardAnswer(status);
        }
    }

    // --- Failures -------------------------------------------------------------------------------

    private void onNotRun(RetryReason reason, String cause) {
        mNotRunAttempts++;
        releasePlacement(AttemptResult.INCONCLUSIVE);
        boolean retry =
                mNotRunAttempts < MAX_NOT_RUN_ATTEMPTS
                        && mStream.isResumable()
                        && mDeadlineNanos > now()
                        && mContext.tryRetry(mDispatch.service());
        if (retry) {
            retry(reason, cause);
        } else {
            mCause = cause;
            endWithError(RefusalReason.BACKEND_REFUSED, 0);
        }
    }

    private void countFailedAttempt() {
        mFailedAttempts++;
        mMayHaveRun = true;
        releasePlacement(AttemptResult.FAILED);
    }

    private void onFailed(RetryReason reason, String cause) {
        countFailedAttempt();
        if (tryAcquireRetry(mFailedAttempts)) {
            retry(reason, cause);
        } else {
            endFailed(cause);
        }
    }

    /** Breaks off an answer that has begun, or ends the request with an error. */
    private void endFailed(String cause) {
        if (mStream.isStarted()) {
            abort(cause);
        } else {
            mCause = cause;
            endWithError(RefusalReason.BACKEND_FAILED, 0);
        }
    }

    /** Takes a retry from the budget if the limits of the request allow another attempt. */
    private boolean tryAcquireRetry(int failedAttempts) {
        return isSafeToRerun()
                && mStream.isResumable()
                && failedAttempts < mRoute.getAttempts()
                && mDeadlineNanos - now() > TimeUnit.MILLISECONDS.toNanos(MIN_REMAINING_MILLIS)
                && mContext.tryRetry(mDispatch.service());
    }

    private void retry(RetryReason reason, String cause) {
        mContext.metrics().countRetry(reason);
        LOGGER.atInfo().log(
                "event=call_repeated request=%s reason=%s cause='%s' runs=%d turned_down=%d",
                LogText.of(mCallerHeaders.requestId()),
                reason.code(),
                cause,
                mFailedAttempts,
                mNotRunAttempts);
        releaseBody();
        mStream.dropPartialEvent();
        mWaiting = true;
        mContext.submit(this, mDispatch, mTriedServers);
    }

    /** Called when the dispatcher refuses the request. */
    void onRefused(RefusalReason reason, long retryMillis) {
        mWaiting = false;
        step(() -> endWithError(reason, retryMillis));
    }

    private void endBlocked() {
        CrashGuard.Refusal refusal = mContext.crashGuard().onRefused(mSubjects);
        endWithError(refusal.reason(), refusal.retryMillis());
    }

    /** Ends the request if it has just been found to crash servers, or a segment of its prompt. */
    void onConviction() {
        step(this::checkConviction);
    }

    private void checkConviction() {
        CrashGuard guard = mContext.crashGuard();
        if (mEnded || mRetest || mStream.isStarted() || !guard.isBlocked(mSubjects)) {
            return;
        }
        if (mWaiting) {
            mWaiting = false;
            mContext.cancelWaiting(this);
            endBlocked();
        } else if (mAttempt != null && !mAnswerBegun && guard.isSuspect(mSubjects)) {
            mMayHaveRun = true;
            cancelAttempt();
            endBlocked();
        }
    }

    /** Ends the request with an error, which states "not run" only if no server can have run it. */
    private void endWithError(RefusalReason reason, long retryMillis) {
        if (mStream.isStarted()) {
            abort(reason.code());
            return;
        }
        boolean notRun = !mMayHaveRun;
        mContext.metrics().countRefusal(reason);
        FullHttpResponse answer = EmptyAnswers.ofError(reason, notRun);
        mContext.headerCodec()
                .writeRefusal(
                        answer.headers(),
                        mCallerHeaders.requestId(),
                        reason.code(),
                        notRun ? retryMillis : 0);
        mCause = reason.code() + (mCause.isEmpty() ? "" : ": " + mCause);
        int status = answer.status().code();
        end(notRun ? "refused" : "failed", status, () -> mCaller.answer(answer));
    }

    /** Closes the caller's connection, because the answer cannot be completed. */
    private void abort(String cause) {
        mCause = cause;
        cancelAttemptIfSafe();
        end("broken_off", 0, mCaller::abort);
    }

    // --- Deadline and the caller ----------------------------------------------------------------

    /**
     * Checks the deadline, and retries a request that may run again if its server is silent.
     *
     * @param serverSilent whether the server has stopped announcing itself
     */
    void tick(long nowNanos, boolean serverSilent) {
        if (mEnded) {
            return;
        }
        if (nowNanos >= mDeadlineNanos) {
            step(() -> giveUp(RefusalReason.DEADLINE_PASSED, 0));
        } else if (serverSilent && mAttempt != null && isSafeToRerun()) {
            step(() -> leaveSilentServer(nowNanos));
        }
    }

    /**
     * Repeats the request at another server if that is possible. Otherwise the attempt goes on,
     * since a server whose announcements do not arrive may still answer.
     */
    private void leaveSilentServer(long nowNanos) {
        Set<String> excluded = new HashSet<>(mTriedServers);
        excluded.add(mPlacement.server().id());
        boolean leaves =
                nowNanos - mAttempt.times().heardNanos() > ANSWERING_NANOS
                        && mContext.hasAvailableServer(mDispatch.service(), excluded)
                        && tryAcquireRetry(mFailedAttempts + 1);
        if (leaves) {
            mAttempt.cancel();
            countFailedAttempt();
            retry(RetryReason.CONNECTION_SILENT, "the server is not heard from");
        }
    }

    /** Ends the call, since the process is about to end. */
    void onStop() {
        if (!mEnded) {
            step(() -> giveUp(RefusalReason.DRAINING, DRAINING_RETRY_MILLIS));
        }
    }

    private void giveUp(RefusalReason reason, long retryMillis) {
        if (mWaiting) {
            mWaiting = false;
            mContext.cancelWaiting(this);
        } else {
            mMayHaveRun |= mAttempt == null || mAttempt.isWriteBegun();
            cancelAttemptIfSafe();
        }
        endWithError(reason, retryMillis);
    }

    @Override
    public void onCallerGone() {
        step(this::endWithoutCaller);
    }

    private void endWithoutCaller() {
        if (mEnded) {
            return;
        }
        mContext.metrics().countEvent("caller_gone");
        if (mWaiting) {
            mContext.cancelWaiting(this);
        }
        cancelAttemptIfSafe();
        end("caller_gone", 0, () -> {});
    }

    /**
     * Cancels the current attempt if the request is a stream, may run again, or is not yet written;
     * otherwise lets the server finish it.
     */
    private void cancelAttemptIfSafe() {
        if (isStream() || isSafeToRerun() || (mAttempt != null && !mAttempt.isWritten())) {
            cancelAttempt();
        }
    }

    private void cancelAttempt() {
        if (mAttempt != null) {
            mAttempt.cancel();
            giveUpAttempt();
        }
    }

    /** Limits how long a server may finish an answer that nobody waits for. */
    private void cancelAttemptAfterDeadline() {
        if (mAttempt != null) {
            long remaining = Math.max(0, mDeadlineNanos - now());
            Duration delay = Duration.ofNanos(remaining).plus(FINISH_TIME_AFTER_DEADLINE);
            mContext.loop().schedule(delay, () -> step(this::cancelAttempt));
        }
    }

    /** Ends the current attempt without an answer that the call takes. */
    private void giveUpAttempt() {
        boolean isStopping = mContext.stopNanos() != Long.MAX_VALUE;
        AttemptResult result =
                isStopping
                        ? AttemptResult.INCONCLUSIVE
                        : mAttempt.resultIfGivenUp(mContext.isSilent(mPlacement.server()));
        long waited = mAttempt.times().longestWaitNanos(now(), mContext.loopDelayNanos());
        releasePlacement(result, waited);
    }

    /** Ends the current attempt with an answer of the server, or with a failure. */
    private void releasePlacement(AttemptResult result) {
        if (result != AttemptResult.INCONCLUSIVE && !isStream() && !mEnded) {
            onBegun(mSentNanos);
        }
        releasePlacement(result, mAttempt == null ? 0 : mAttempt.times().latencyNanos(now()));
    }

    private void releasePlacement(AttemptResult result, long nanos) {
        Optional<PoolId> pool = mAttempt == null ? Optional.empty() : mAttempt.pool();
        mAttempt = null;
        if (mPlacement != null) {
            Placement placement = mPlacement;
            mPlacement = null;
            mTriedServers.add(placement.server().id());
            placement.end();
            mContext.onAttemptEnd(pool, mDispatch, result, TimeUnit.NANOSECONDS.toMillis(nanos));
            mContext.onCapacityFreed();
        }
    }

    private void releaseBody() {
        if (mAnswer != null) {
            mAnswer.release();
        }
    }

    private void end(String outcome, int status, Runnable writeAnswer) {
        mEnded = true;
        long now = now();
        double seconds = (now - mDispatch.arrivalNanos()) / 1e9;
        mContext.metrics().observeRequest(mRoute.getName(), outcome, seconds);
        LOGGER.atInfo().log(
                "event=call_ended request=%s route=%s customer=%s service=%s outcome=%s"
                        + " status=%d prompt_tokens=%d lead_tokens=%.0f runs=%d turned_down=%d"
                        + " wait_ms=%d first_ms=%d total_ms=%d servers=%s connection=%s cause='%s'",
                LogText.of(mCallerHeaders.requestId()),
                LogText.of(mRoute.getName()),
                LogText.of(mCustomer.orElse("-")),
                LogText.of(mDispatch.service()),
                outcome,
                status,
                mDispatch.promptTokens(),
                mContext.leadTokens(mDispatch.customer()),
                mFailedAttempts,
                mNotRunAttempts,
                millisSinceArrival(mSentNanos),
                millisSinceArrival(mFirstByteNanos),
                millisSinceArrival(now),
                mPlacement == null ? mTriedServers : mPlacement.server(),
                mUse.map(ConnectionUse::toString).orElse("-"),
                mCause);
        mAnswered = true;
        writeAnswer.run();
        release();
    }

    /** Gives back what the call holds, but for an attempt that its server may still end. */
    private void release() {
        if (mReleased) {
            return;
        }
        mReleased = true;
        mContext.onEnd(this);
        releaseBody();
        mStream.dropPartialEvent();
        if (mAttempt != null) {
            mSubjects.request(); // The server may crash after the call has ended.
        }
        mRequest.release();
        cancelAttemptAfterDeadline();
    }

    private long millisSinceArrival(long nanos) {
        return nanos == 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(nanos - mDispatch.arrivalNanos());
    }
}
