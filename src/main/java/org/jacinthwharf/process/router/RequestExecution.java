package org.jacinthwharf.process.router;

import com.google.common.base.Ascii;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.connection.SilenceDetector;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.process.metrics.RetryReason;
import org.jacinthwharf.process.moves.EvidenceSink.AttemptResult;
import org.jacinthwharf.request.admission.QueuedRequest;
import org.jacinthwharf.request.admission.Slot;
import org.jacinthwharf.request.outcome.AnswerMatcher;
import org.jacinthwharf.request.outcome.AnswerMatcher.Match;
import org.jacinthwharf.request.outcome.AttemptEvent;
import org.jacinthwharf.request.outcome.AttemptId;
import org.jacinthwharf.request.outcome.Decision;
import org.jacinthwharf.request.outcome.Decision.ServerChoice;
import org.jacinthwharf.request.outcome.RequestAttempts;
import org.jacinthwharf.request.outcome.RequestOutcome;
import org.jacinthwharf.request.outcome.StoredAnswers;
import org.jacinthwharf.request.outcome.StreamAssembler;
import org.jacinthwharf.request.outcome.StreamEventId;
import org.jacinthwharf.wire.generated.ClaimEndState;
import org.jacinthwharf.wire.generated.ClaimReply;
import org.jacinthwharf.wire.generated.StoredAnswer;

/**
 * Executes the decisions about one request: claims its key, waits for a slot, sends attempts and
 * answers the caller.
 *
 * <p>Used on the event loop only. Invariants: the caller receives one outcome, or none if it
 * disconnects first; a slot is held from its grant until, to this router's knowledge, its attempt
 * has ended at the backend server; every granted claim is ended.
 */
final class RequestExecution implements AttemptReceiver.Sink {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration KEEP_ALIVE_INTERVAL = Duration.ofSeconds(5);
    private static final ByteString KEEP_ALIVE_COMMENT =
            ByteString.copyFromUtf8(": keep-alive\n\n");

    private final CallerRequest mRequest;
    private final CallerExchange mExchange;
    private final RequestContext mContext;
    private final RequestAttempts mAttempts;
    private final RequestClaim mClaim;
    private final OutcomeWriter mOutcomeWriter;
    private final AnswerMatcher mMatcher;
    private final StreamAssembler mAssembler;
    private final long mArrivalNanos;
    private final long mDeadlineNanos;
    private QueuedRequest<RequestExecution> mQueued;
    private Optional<Slot> mSlot = Optional.empty();
    private Optional<BackendClient.Attempt> mOpenAttempt = Optional.empty();
    private Optional<SilenceDetector> mSilenceDetector = Optional.empty();
    private AttemptReceiver mReceiver;
    private AttemptId mAttemptId;
    private long mAttemptStartNanos;
    private long mEventsForwarded;
    private long mLastWriteNanos;
    private boolean mStreamStarted;
    private boolean mUseNewConnection;
    private boolean mAttemptInFlight;
    // Whether the server may still run an attempt that this router no longer waits for.
    private boolean mMayStillRun;
    private AttemptResult mAttemptResult = AttemptResult.INCONCLUSIVE;
    private boolean mDeadlinePassed;

    RequestExecution(
            CallerRequest request,
            CallerExchange exchange,
            RequestContext context,
            RequestAttempts attempts,
            long arrivalNanos) {
        mRequest = request;
        mExchange = exchange;
        mContext = context;
        mAttempts = attempts;
        mClaim = new RequestClaim(request, context.self(), context.claims());
        mOutcomeWriter = new OutcomeWriter(request, exchange, context.metrics());
        mMatcher = new AnswerMatcher(request.id());
        mAssembler =
                request.lastEvent()
                        .map(e -> StreamAssembler.after(e.sequence()))
                        .orElseGet(StreamAssembler::fromStart);
        mArrivalNanos = arrivalNanos;
        mDeadlineNanos = arrivalNanos + TimeUnit.MILLISECONDS.toNanos(request.deadlineMillis());
    }

    /** Starts executing the request. */
    void start() {
        mExchange.setDisconnectHandler(this::onCallerDisconnected);
        apply(mAttempts.start(now()));
    }

    private void onDeadline() {
        if (mAttemptInFlight) {
            // Counts against the version; otherwise a version that never answers would look
            // healthy.
            mAttemptResult = AttemptResult.FAILED;
        }
        if (mQueued != null && mSlot.isEmpty()) {
            // The request is still queued; a refusal has no effect once it has been sent.
            onRefused(RefusalReason.DEADLINE_PASSED);
        }
        apply(mAttempts.onDeadline(now()));
    }

    CallerRequest request() {
        return mRequest;
    }

    private long now() {
        return mContext.loop().nowNanos();
    }

    private void apply(Decision decision) {
        if (decision instanceof Decision.Claim c) {
            mClaim.claim(c, this::onClaimReply);
        } else if (decision instanceof Decision.RetryClaim later) {
            mContext.loop()
                    .schedule(
                            Duration.ofMillis(later.delayMillis()),
                            () -> apply(mAttempts.claim(now())));
        } else if (decision instanceof Decision.GetSlot) {
            enqueue();
        } else if (decision instanceof Decision.Send s) {
            sendAttempt(s.attempt());
        } else if (decision instanceof Decision.Retry r) {
            retry(r);
        } else if (decision instanceof Decision.Finish f) {
            finish(f);
        } else if (decision instanceof Decision.EndClaim e) {
            endClaim(e.state(), () -> {});
        }
    }

    // --- Claims ---------------------------------------------------------------------------------

    private void onClaimReply(ClaimReply reply) {
        apply(mAttempts.onClaim(reply, now()));
    }

    private void endClaim(ClaimEndState state, Runnable whenCommitted) {
        Optional<StoredAnswer> answer =
                receiver().map(r -> StoredAnswers.of(r.status(), r.contentType(), r.body()));
        mClaim.end(state, answer, whenCommitted);
    }

    private Optional<AttemptReceiver> receiver() {
        return Optional.ofNullable(mReceiver);
    }

    // --- Slots ----------------------------------------------------------------------------------

    private void enqueue() {
        mQueued = newQueuedRequest(mContext.choosePool(mRequest));
        mContext.admission().submit(mQueued);
    }

    private QueuedRequest<RequestExecution> newQueuedRequest(PoolId pool) {
        return new QueuedRequest<>(
                mRequest.customer(),
                pool,
                mContext.estimateCost(mRequest),
                mArrivalNanos,
                mDeadlineNanos,
                this);
    }

    /** Called when the request is granted a slot; sends an attempt at once. */
    void onSlot(Slot slot) {
        mSlot = Optional.of(slot);
        long now = now();
        if (mOutcomeWriter.isAnswered()) {
            releaseSlot();
        } else if (now >= slot.usableUntilNanos()) {
            // The process may have been paused since the grant arrived.
            mContext.metrics().countRetry(RetryReason.GRANT_EXPIRED);
            releaseSlot();
            mContext.admission().readmit(mQueued);
        } else {
            Decision decision = mAttempts.beforeSend(now);
            if (!(decision instanceof Decision.Send)) {
                releaseSlot();
            }
            apply(decision);
        }
    }

    /** Ends the request as not run. */
    void onRefused(RefusalReason reason) {
        boolean noServerKnown =
                reason == RefusalReason.DEADLINE_PASSED
                        && !mContext.admission().hasServers(mQueued.pool());
        apply(mAttempts.refuse(noServerKnown ? RefusalReason.NO_BACKEND_SERVER : reason));
    }

    /** Called when the owner recalls the slot; the request may be retried on another server. */
    void onRecalled() {
        if (mAttemptId != null) {
            long next = mAssembler.nextSequence();
            onAttemptEvent(new AttemptEvent.SlotRecalled(mAttemptId.attempt(), next));
        }
    }

    private void releaseSlot() {
        recordAttemptEnd();
        mSlot.ifPresent(s -> mContext.admission().onEnded(s, measuredCost(), mMayStillRun));
        mMayStillRun = false;
        mSlot = Optional.empty();
        mOpenAttempt = Optional.empty();
        mSilenceDetector = Optional.empty();
    }

    private void recordAttemptEnd() {
        if (mAttemptInFlight && mSlot.isPresent()) {
            long millis = TimeUnit.NANOSECONDS.toMillis(now() - mAttemptStartNanos);
            mContext.evidence().onEnd(mSlot.get().pool(), mRequest.route(), mAttemptResult, millis);
        }
        mAttemptInFlight = false;
    }

    private double measuredCost() {
        if (mAttemptId == null) {
            return 0;
        }
        long reported = mReceiver == null ? -1 : mReceiver.reportedCost();
        return reported >= 0 ? reported : Math.max(1, mEventsForwarded);
    }

    // --- Attempts -------------------------------------------------------------------------------

    private void sendAttempt(AttemptId id) {
        Slot slot = mSlot.orElseThrow();
        mAttemptId = id;
        mAttemptStartNanos = now();
        mMatcher.onSend(id);
        mAssembler.onResume();
        mReceiver = new AttemptReceiver(id, mRequest.stream(), mMatcher, mAssembler, this);
        long next = mAssembler.nextSequence();
        mSilenceDetector =
                Optional.of(
                        new SilenceDetector(
                                mContext.firstByteTimes().silenceLimitNanos(mRequest.routeKey()),
                                mAttemptStartNanos));
        mOpenAttempt =
                Optional.of(
                        mContext.client()
                                .send(
                                        slot.address(),
                                        mRequest,
                                        id.attempt(),
                                        next > 1 ? OptionalLong.of(next) : OptionalLong.empty(),
                                        !mRequest.idempotent() || mUseNewConnection,
                                        mReceiver));
        mAttemptResult = AttemptResult.INCONCLUSIVE;
        mAttemptInFlight = true;
        mContext.evidence().onStart(slot.pool(), mRequest.route());
    }

    private void retry(Decision.Retry retry) {
        mContext.metrics().countRetry(retry.reason());
        LOGGER.atInfo().log(
                "event=request_retried request=%s attempt=%s reason=%s",
                mRequest.id(), mAttemptId.attempt(), retry.reason().code());
        cancelAttempt(retry.reason().code());
        mUseNewConnection = retry.server() == ServerChoice.SAME;
        if (retry.claimEnd().isPresent()) {
            releaseSlot();
            endClaim(retry.claimEnd().get(), () -> apply(mAttempts.claim(now())));
        } else if (retry.server() == ServerChoice.SAME && mSlot.isPresent()) {
            // Reuses the slot; only the connection is replaced.
            recordAttemptEnd();
            apply(mAttempts.beforeSend(now()));
        } else {
            releaseSlot();
            mQueued = newQueuedRequest(mContext.choosePoolForRetry(mRequest));
            mContext.admission().readmit(mQueued);
        }
    }

    private void cancelAttempt(String reason) {
        mReceiver.abandon();
        mMayStillRun |= mOpenAttempt.isPresent();
        mOpenAttempt.ifPresent(o -> o.cancel(reason));
        mOpenAttempt = Optional.empty();
    }

    @Override
    public void onProgress(boolean first) {
        long now = now();
        mSilenceDetector.ifPresent(s -> s.onProgress(now));
        if (first) {
            mContext.firstByteTimes()
                    .record(mRequest.routeKey(), Math.max(0, now - mAttemptStartNanos));
        }
    }

    @Override
    public String eventId(long sequence) {
        return new StreamEventId(mRequest.streamId(), mSlot.orElseThrow().server(), sequence)
                .toString();
    }

    @Override
    public void onStreamEvents(ByteString chunk, int events, Runnable whenWritten) {
        if (!mStreamStarted) {
            mStreamStarted = true;
            mExchange.startStream();
        }
        mEventsForwarded += events;
        mLastWriteNanos = now();
        mSlot.ifPresent(s -> mContext.admission().onProgress(s, mEventsForwarded));
        mExchange.write(chunk, whenWritten);
    }

    @Override
    public void onDropped(Match match) {
        mContext.metrics().countEvent("answer_" + Ascii.toLowerCase(match.name()));
        LOGGER.atInfo().log("event=answer_dropped request=%s match=%s", mRequest.id(), match);
    }

    @Override
    public void onAttemptEvent(AttemptEvent event) {
        recordEvidence(event);
        if (isTerminal(event)) {
            mOpenAttempt = Optional.empty();
            mMayStillRun = event instanceof AttemptEvent.ConnectionClosed;
        }
        Decision decision = mAttempts.onEvent(event, now());
        boolean ended =
                !(event instanceof AttemptEvent.ConnectionSilent)
                        && !(event instanceof AttemptEvent.SlotRecalled);
        apply(decision);
        if (ended && !(decision instanceof Decision.Retry)) {
            releaseSlot();
        }
    }

    /** Returns whether no more data of the attempt can arrive after the event. */
    private static boolean isTerminal(AttemptEvent event) {
        return event instanceof AttemptEvent.AnswerComplete
                || event instanceof AttemptEvent.ServerError
                || event instanceof AttemptEvent.ServerNotRun
                || event instanceof AttemptEvent.ConnectFailed
                || event instanceof AttemptEvent.ConnectionClosed;
    }

    private void recordEvidence(AttemptEvent event) {
        if (event instanceof AttemptEvent.AnswerComplete) {
            mAttemptResult = AttemptResult.COMPLETE;
        } else if (event instanceof AttemptEvent.ServerError
                || event instanceof AttemptEvent.CrossedAnswer
                || event instanceof AttemptEvent.StreamTruncated
                || event instanceof AttemptEvent.ConnectionClosed) {
            mAttemptResult = AttemptResult.FAILED;
        } else if (event instanceof AttemptEvent.ConnectFailed) {
            mSlot.ifPresent(s -> mContext.reportUnreachable(s.server(), s.serverIncarnation()));
        }
    }

    // --- Timeouts -------------------------------------------------------------------------------

    /** Checks the deadline and the silence detector, and keeps an idle stream alive. */
    void tick() {
        long now = now();
        // Polled, since a timer per request would keep its body in memory until the deadline.
        if (!mDeadlinePassed && now >= mDeadlineNanos) {
            mDeadlinePassed = true;
            onDeadline();
        }
        mSilenceDetector.ifPresent(s -> onSilenceVerdict(s.onTick(now)));
        boolean idle = now - mLastWriteNanos > KEEP_ALIVE_INTERVAL.toNanos();
        if (mStreamStarted && !mOutcomeWriter.isAnswered() && idle) {
            mLastWriteNanos = now;
            mExchange.write(KEEP_ALIVE_COMMENT, () -> {});
        }
    }

    private void onSilenceVerdict(SilenceDetector.Verdict verdict) {
        Slot slot = mSlot.orElse(null);
        if (slot == null || verdict == SilenceDetector.Verdict.WAIT) {
            return;
        }
        if (verdict == SilenceDetector.Verdict.PROBE) {
            SilenceDetector detector = mSilenceDetector.orElseThrow();
            mContext.client()
                    .probe(
                            slot.address(),
                            mRequest,
                            Duration.ofNanos(SilenceDetector.PROBE_TIMEOUT_NANOS),
                            h -> onHealth(detector, h));
            return;
        }
        boolean serverAnswers = verdict == SilenceDetector.Verdict.REPLACE_CONNECTION;
        if (!serverAnswers) {
            mContext.reportUnreachable(slot.server(), slot.serverIncarnation());
        }
        mContext.metrics().countEvent(serverAnswers ? "connection_silent" : "server_silent");
        onAttemptEvent(
                new AttemptEvent.ConnectionSilent(
                        mAttemptId.attempt(), serverAnswers, mAssembler.nextSequence()));
    }

    private void onHealth(SilenceDetector detector, BackendClient.Health health) {
        if (mSilenceDetector.filter(s -> s == detector).isEmpty()) {
            return;
        }
        SilenceDetector.ProbeResult result =
                !health.answered()
                        ? SilenceDetector.ProbeResult.NO_ANSWER
                        : health.running()
                                ? SilenceDetector.ProbeResult.LISTS_REQUEST
                                : SilenceDetector.ProbeResult.ANSWERED;
        onSilenceVerdict(detector.onProbe(result, now()));
    }

    private void onCallerDisconnected() {
        mContext.metrics().countEvent("caller_gone");
        // A non-idempotent call continues, so that its answer is stored under its request key.
        if (mRequest.idempotent() && !mOutcomeWriter.isAnswered()) {
            mOutcomeWriter.onCallerDisconnected();
            if (mQueued != null) {
                mContext.admission().cancel(mQueued);
            }
            if (mReceiver != null) {
                cancelAttempt("caller gone");
            }
            if (!mStreamStarted && mAttemptResult == AttemptResult.INCONCLUSIVE) {
                mAttemptResult = AttemptResult.UNANSWERED;
            }
            releaseSlot();
            mContext.onRequestEnded(this);
        }
    }

    // --- Answers --------------------------------------------------------------------------------

    private void finish(Decision.Finish finish) {
        RequestOutcome outcome = finish.outcome();
        if (mQueued != null) {
            mContext.admission().cancel(mQueued);
        }
        if (mRequest.idempotent() && mOpenAttempt.isPresent()) {
            if (!(outcome instanceof RequestOutcome.Answer)) {
                cancelAttempt("request ended");
            }
            releaseSlot();
        } else if (mOpenAttempt.isPresent()) {
            // The call may still run, so its slot stays in use; a late answer ends its claim.
            mContext.loop().schedule(BackendClient.REQUEST_TIMEOUT, this::releaseSlot);
        }
        Optional<ClaimEndState> end = finish.claimEnd();
        if (end.isPresent() && end.get() == ClaimEndState.CLAIM_END_DONE) {
            mContext.loop()
                    .schedule(
                            Duration.ofMillis(RequestAttempts.DONE_COMMIT_WAIT_MILLIS),
                            () -> answer(outcome));
            endClaim(end.get(), () -> answer(outcome));
        } else {
            end.ifPresent(e -> endClaim(e, () -> {}));
            answer(outcome);
        }
    }

    private void answer(RequestOutcome outcome) {
        if (mOutcomeWriter.isAnswered()) {
            return;
        }
        if (outcome instanceof RequestOutcome.Answer) {
            mContext.recordCost(mRequest, measuredCost());
        }
        double seconds = (now() - mArrivalNanos) / 1e9;
        mOutcomeWriter.write(outcome, receiver(), mStreamStarted, seconds);
        mContext.onRequestEnded(this);
    }
}
