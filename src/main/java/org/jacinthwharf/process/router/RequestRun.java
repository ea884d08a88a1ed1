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
import org.jacinthwharf.process.moves.EvidenceSink.CompletionStatus;
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
 * Carries out the decisions about one request: claims, waits for a slot, sends, answers.
 *
 * <p>Used on the event loop only. Invariants: the caller gets one outcome; a slot is held from its
 * grant until the attempt that uses it has ended at the backend server as far as this router can
 * tell; a claim that was granted is ended.
 */
final class RequestRun implements AttemptReceiver.Sink {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration STREAM_COMMENT_INTERVAL = Duration.ofSeconds(5);
    private static final ByteString STREAM_COMMENT = ByteString.copyFromUtf8(": keep-alive\n\n");

    private final CallerRequest mRequest;
    private final CallerExchange mExchange;
    private final RequestServices mServices;
    private final RequestAttempts mAttempts;
    private final RequestClaim mClaim;
    private final CallerAnswers mAnswers;
    private final AnswerMatcher mMatcher;
    private final StreamAssembler mAssembler;
    private final long mArrivalNanos;
    private final long mDeadlineNanos;
    private QueuedRequest<RequestRun> mQueued;
    private Optional<Slot> mSlot = Optional.empty();
    private Optional<BackendClient.Attempt> mOpen = Optional.empty();
    private Optional<SilenceDetector> mSilence = Optional.empty();
    private AttemptReceiver mReceiver;
    private AttemptId mAttemptId;
    private long mAttemptStartNanos;
    private long mEvents;
    private long mLastWriteNanos;
    private boolean mStreamStarted;
    private boolean mOnNewConnection;
    private boolean mSent;
    // Whether the server may run the attempt although this router waits for it no more.
    private boolean mMayStillRun;
    private CompletionStatus mCompletionStatus = CompletionStatus.WITHOUT_EVIDENCE;
    private boolean mDeadlinePassed;

    RequestRun(
            CallerRequest request,
            CallerExchange exchange,
            RequestServices services,
            RequestAttempts attempts,
            long arrivalNanos) {
        mRequest = request;
        mExchange = exchange;
        mServices = services;
        mAttempts = attempts;
        mClaim = new RequestClaim(request, services.self(), services.claims());
        mAnswers = new CallerAnswers(request, exchange, services.metrics());
        mMatcher = new AnswerMatcher(request.id());
        mAssembler =
                request.lastEvent()
                        .map(e -> StreamAssembler.after(e.sequence()))
                        .orElseGet(StreamAssembler::fromStart);
        mArrivalNanos = arrivalNanos;
        mDeadlineNanos = arrivalNanos + TimeUnit.MILLISECONDS.toNanos(request.deadlineMillis());
    }

    /** Starts the request. */
    void start() {
        mExchange.onCallerGone(this::onCallerGone);
        apply(mAttempts.start(now()));
    }

    private void onDeadline() {
        if (mSent) {
            // A version that never answers must show in its evidence.
            mCompletionStatus = CompletionStatus.FAILED;
        }
        if (mQueued != null && mSlot.isEmpty()) {
            // Still waiting; a request that was sent is not affected by a refusal.
            onRefused(RefusalReason.DEADLINE_PASSED);
        }
        apply(mAttempts.onDeadline(now()));
    }

    CallerRequest request() {
        return mRequest;
    }

    private long now() {
        return mServices.loop().nowNanos();
    }

    private void apply(Decision decision) {
        if (decision instanceof Decision.Claim c) {
            mClaim.claim(c, this::onClaimReply);
        } else if (decision instanceof Decision.ClaimLater later) {
            mServices
                    .loop()
                    .schedule(
                            Duration.ofMillis(later.delayMillis()),
                            () -> apply(mAttempts.claim(now())));
        } else if (decision instanceof Decision.GetSlot) {
            enqueue();
        } else if (decision instanceof Decision.Send s) {
            send(s.attempt());
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
        mQueued = queued(mServices.poolFor(mRequest));
        mServices.admission().offer(mQueued);
    }

    private QueuedRequest<RequestRun> queued(PoolId pool) {
        return new QueuedRequest<>(
                mRequest.customer(),
                pool,
                mServices.estimate(mRequest),
                mArrivalNanos,
                mDeadlineNanos,
                this);
    }

    /** Takes the slot that the request waited for; sends at once. */
    void onSlot(Slot slot) {
        mSlot = Optional.of(slot);
        long now = now();
        if (mAnswers.isAnswered()) {
            releaseSlot();
        } else if (now >= slot.usableUntilNanos()) {
            // The process may have been frozen since the grant arrived.
            mServices.metrics().countRetry(RetryReason.GRANT_EXPIRED);
            releaseSlot();
            mServices.admission().readmit(mQueued);
        } else {
            Decision decision = mAttempts.beforeSend(now);
            if (!(decision instanceof Decision.Send)) {
                releaseSlot();
            }
            apply(decision);
        }
    }

    /** Ends the request without having run. */
    void onRefused(RefusalReason reason) {
        boolean noServer =
                reason == RefusalReason.DEADLINE_PASSED
                        && !mServices.admission().hasServers(mQueued.pool());
        apply(mAttempts.refuse(noServer ? RefusalReason.NO_BACKEND_SERVER : reason));
    }

    /** Handles the recall of the slot by its owner; the request may run again elsewhere. */
    void onRecalled() {
        if (mAttemptId != null) {
            long next = mAssembler.nextSequence();
            onAttemptEvent(new AttemptEvent.SlotRecalled(mAttemptId.attempt(), next));
        }
    }

    private void releaseSlot() {
        noteAttemptEnd();
        mSlot.ifPresent(s -> mServices.admission().ended(s, measuredCost(), mMayStillRun));
        mMayStillRun = false;
        mSlot = Optional.empty();
        mOpen = Optional.empty();
        mSilence = Optional.empty();
    }

    private void noteAttemptEnd() {
        if (mSent && mSlot.isPresent()) {
            long millis = TimeUnit.NANOSECONDS.toMillis(now() - mAttemptStartNanos);
            mServices
                    .evidence()
                    .onEnd(mSlot.get().pool(), mRequest.route(), mCompletionStatus, millis);
        }
        mSent = false;
    }

    private double measuredCost() {
        if (mAttemptId == null) {
            return 0;
        }
        long stated = mReceiver == null ? -1 : mReceiver.statedCost();
        return stated >= 0 ? stated : Math.max(1, mEvents);
    }

    // --- Attempts -------------------------------------------------------------------------------

    private void send(AttemptId id) {
        Slot slot = mSlot.orElseThrow();
        mAttemptId = id;
        mAttemptStartNanos = now();
        mMatcher.onSend(id);
        mAssembler.onResume();
        mReceiver = new AttemptReceiver(id, mRequest.stream(), mMatcher, mAssembler, this);
        long next = mAssembler.nextSequence();
        mSilence =
                Optional.of(
                        new SilenceDetector(
                                mServices.firstByteTimes().silenceLimitNanos(mRequest.routeKey()),
                                mAttemptStartNanos));
        mOpen =
                Optional.of(
                        mServices
                                .client()
                                .send(
                                        slot.address(),
                                        mRequest,
                                        id.attempt(),
                                        next > 1 ? OptionalLong.of(next) : OptionalLong.empty(),
                                        !mRequest.idempotent() || mOnNewConnection,
                                        mReceiver));
        mCompletionStatus = CompletionStatus.WITHOUT_EVIDENCE;
        mSent = true;
        mServices.evidence().onStart(slot.pool(), mRequest.route());
    }

    private void retry(Decision.Retry retry) {
        mServices.metrics().countRetry(retry.reason());
        LOGGER.atInfo().log(
                "event=request_retried request=%s attempt=%s reason=%s",
                mRequest.id(), mAttemptId.attempt(), retry.reason().code());
        cancelOpen(retry.reason().code());
        mOnNewConnection = retry.server() == ServerChoice.SAME;
        if (retry.claimEnd().isPresent()) {
            releaseSlot();
            endClaim(retry.claimEnd().get(), () -> apply(mAttempts.claim(now())));
        } else if (retry.server() == ServerChoice.SAME && mSlot.isPresent()) {
            // The slot stays in use; only the connection is another one.
            noteAttemptEnd();
            apply(mAttempts.beforeSend(now()));
        } else {
            releaseSlot();
            mQueued = queued(mServices.poolForRepeat(mRequest));
            mServices.admission().readmit(mQueued);
        }
    }

    private void cancelOpen(String reason) {
        mReceiver.giveUp();
        mMayStillRun |= mOpen.isPresent();
        mOpen.ifPresent(o -> o.cancel(reason));
        mOpen = Optional.empty();
    }

    @Override
    public void onProgress(boolean first) {
        long now = now();
        mSilence.ifPresent(s -> s.onProgress(now));
        if (first) {
            mServices
                    .firstByteTimes()
                    .record(mRequest.routeKey(), Math.max(0, now - mAttemptStartNanos));
        }
    }

    @Override
    public String eventId(long sequence) {
        return new StreamEventId(mRequest.id(), mSlot.orElseThrow().server(), sequence).toString();
    }

    @Override
    public void onStreamPart(ByteString part, int events, Runnable whenWritten) {
        if (!mStreamStarted) {
            mStreamStarted = true;
            mExchange.startStream();
        }
        mEvents += events;
        mLastWriteNanos = now();
        mSlot.ifPresent(s -> mServices.admission().progress(s, mEvents));
        mExchange.write(part, whenWritten);
    }

    @Override
    public void onDropped(Match match) {
        mServices.metrics().countEvent("answer_" + Ascii.toLowerCase(match.name()));
        LOGGER.atInfo().log("event=answer_dropped request=%s match=%s", mRequest.id(), match);
    }

    @Override
    public void onAttemptEvent(AttemptEvent event) {
        noteEvidence(event);
        if (isAnswerOver(event)) {
            mOpen = Optional.empty();
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

    /** Returns whether nothing of the attempt can arrive after the event. */
    private static boolean isAnswerOver(AttemptEvent event) {
        return event instanceof AttemptEvent.AnswerComplete
                || event instanceof AttemptEvent.ServerError
                || event instanceof AttemptEvent.ServerNotRun
                || event instanceof AttemptEvent.ConnectFailed
                || event instanceof AttemptEvent.ConnectionClosed;
    }

    private void noteEvidence(AttemptEvent event) {
        if (event instanceof AttemptEvent.AnswerComplete) {
            mCompletionStatus = CompletionStatus.COMPLETE;
        } else if (event instanceof AttemptEvent.ServerError
                || event instanceof AttemptEvent.CrossedAnswer
                || event instanceof AttemptEvent.StreamTruncated
                || event instanceof AttemptEvent.ConnectionClosed) {
            mCompletionStatus = CompletionStatus.FAILED;
        } else if (event instanceof AttemptEvent.ConnectFailed) {
            mSlot.ifPresent(s -> mServices.suspect(s.server(), s.serverIncarnation()));
        }
    }

    // --- Silence and time -----------------------------------------------------------------------

    /** Looks at the deadline and for silence of the open attempt; keeps a quiet stream alive. */
    void tick() {
        long now = now();
        // A timer per request would hold the request's body until the deadline.
        if (!mDeadlinePassed && now >= mDeadlineNanos) {
            mDeadlinePassed = true;
            onDeadline();
        }
        mSilence.ifPresent(s -> onVerdict(s.onTick(now)));
        boolean quiet = now - mLastWriteNanos > STREAM_COMMENT_INTERVAL.toNanos();
        if (mStreamStarted && !mAnswers.isAnswered() && quiet) {
            mLastWriteNanos = now;
            mExchange.write(STREAM_COMMENT, () -> {});
        }
    }

    private void onVerdict(SilenceDetector.Verdict verdict) {
        Slot slot = mSlot.orElse(null);
        if (slot == null || verdict == SilenceDetector.Verdict.WAIT) {
            return;
        }
        if (verdict == SilenceDetector.Verdict.PROBE) {
            SilenceDetector asking = mSilence.orElseThrow();
            mServices
                    .client()
                    .probe(
                            slot.address(),
                            mRequest,
                            Duration.ofNanos(SilenceDetector.PROBE_TIMEOUT_NANOS),
                            h -> onHealth(asking, h));
            return;
        }
        boolean serverAnswers = verdict == SilenceDetector.Verdict.REPLACE_CONNECTION;
        if (!serverAnswers) {
            mServices.suspect(slot.server(), slot.serverIncarnation());
        }
        mServices.metrics().countEvent(serverAnswers ? "connection_silent" : "server_silent");
        onAttemptEvent(
                new AttemptEvent.ConnectionSilent(
                        mAttemptId.attempt(), serverAnswers, mAssembler.nextSequence()));
    }

    private void onHealth(SilenceDetector asking, BackendClient.Health health) {
        if (mSilence.filter(s -> s == asking).isEmpty()) {
            return;
        }
        SilenceDetector.ProbeResult result =
                !health.answered()
                        ? SilenceDetector.ProbeResult.NO_ANSWER
                        : health.running()
                                ? SilenceDetector.ProbeResult.LISTS_REQUEST
                                : SilenceDetector.ProbeResult.ANSWERED;
        onVerdict(asking.onProbe(result, now()));
    }

    private void onCallerGone() {
        mServices.metrics().countEvent("caller_gone");
        // A call that must not run twice goes on, so that its answer is kept for its request key.
        if (mRequest.idempotent() && !mAnswers.isAnswered()) {
            mAnswers.callerGone();
            if (mQueued != null) {
                mServices.admission().cancel(mQueued);
            }
            if (mReceiver != null) {
                cancelOpen("caller gone");
            }
            releaseSlot();
            mServices.onEnd(this);
        }
    }

    // --- Answers --------------------------------------------------------------------------------

    private void finish(Decision.Finish finish) {
        RequestOutcome outcome = finish.outcome();
        if (mQueued != null) {
            mServices.admission().cancel(mQueued);
        }
        if (mRequest.idempotent() && mOpen.isPresent()) {
            if (!(outcome instanceof RequestOutcome.Answer)) {
                cancelOpen("request ended");
            }
            releaseSlot();
        } else if (mOpen.isPresent()) {
            // The call may still run: its slot stays in use, and a late answer ends its claim.
            mServices.loop().schedule(BackendClient.REQUEST_LIMIT, this::releaseSlot);
        }
        Optional<ClaimEndState> end = finish.claimEnd();
        if (end.isPresent() && end.get() == ClaimEndState.CLAIM_END_DONE) {
            mServices
                    .loop()
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
        if (mAnswers.isAnswered()) {
            return;
        }
        if (outcome instanceof RequestOutcome.Answer) {
            mServices.recordCost(mRequest, measuredCost());
        }
        double seconds = (now() - mArrivalNanos) / 1e9;
        mAnswers.answer(outcome, receiver(), mStreamStarted, seconds);
        mServices.onEnd(this);
    }
}
