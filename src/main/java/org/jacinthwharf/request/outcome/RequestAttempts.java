package org.jacinthwharf.request.outcome;

import static com.google.common.base.Preconditions.checkState;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.process.metrics.RetryReason;
import org.jacinthwharf.request.outcome.Decision.ServerChoice;
import org.jacinthwharf.wire.generated.ClaimEndState;
import org.jacinthwharf.wire.generated.ClaimReply;

/**
 * State machine for the attempts of one request, from its arrival to its outcome.
 *
 * <p>Invariants: at most one attempt is open. A keyed call is sent only under a granted claim, only
 * before the deadline, and retried only after a proof that it did not run. {@code NotRun} is the
 * outcome only if every attempt was proven not to have run and no other call may run the key. The
 * end of every granted claim is reported. Retries are charged to the retry budget.
 *
 * <p>Not thread-safe; used on the event loop. Constant memory, constant time per call.
 */
public final class RequestAttempts {
    /** Longest time that an answer is held back until its DONE is committed. */
    public static final long DONE_COMMIT_WAIT_MILLIS = 500;

    /** Delay between claims of a key that another call holds; about one consensus round. */
    static final long CLAIM_RETRY_DELAY_MILLIS = 100;

    /** Prevents a single request from exhausting the shared retry budget. */
    static final int MAX_ATTEMPTS = 8;

    private enum State {
        CLAIMING,
        WAITING_FOR_SLOT,
        SENT,
        FINISHED
    }

    private final RequestId mId;
    private final CallKind mKind;
    private final long mDeadlineNanos;
    private final RetryBudget mBudget;
    private final Supplier<String> mClaimIdSupplier;

    private State mState;
    private int mAttempt;
    private String mClaimId = "";
    private boolean mClaimGranted;
    private boolean mOtherCallMayRun;
    private boolean mMayHaveRun;
    private long mResumeAt = 1;
    private ServerChoice mLastChoice = ServerChoice.OTHER;
    private Optional<ClaimEndState> mClaimEnd = Optional.empty();

    /**
     * Creates the state machine of one request.
     *
     * @param id unique among the requests of the router
     * @param deadlineNanos monotonic time after which nothing is sent and the request is finished
     * @param claimIds supplies ids that are unique across all calls and router incarnations
     */
    public RequestAttempts(
            RequestId id,
            CallKind kind,
            long deadlineNanos,
            RetryBudget budget,
            Supplier<String> claimIds) {
        mId = id;
        mKind = kind;
        mDeadlineNanos = deadlineNanos;
        mBudget = budget;
        mClaimIdSupplier = claimIds;
        mState = kind == CallKind.KEYED ? State.CLAIMING : State.WAITING_FOR_SLOT;
    }

    /** Returns the first action, {@code Claim} or {@code GetSlot}. */
    public Decision start(long nowNanos) {
        return mKind == CallKind.KEYED ? claim(nowNanos) : new Decision.GetSlot();
    }

    /** Returns the claim to send; called after {@code RetryClaim} and after a reported NOT_RUN. */
    public Decision claim(long nowNanos) {
        if (mState != State.CLAIMING) {
            return new Decision.Wait();
        }
        if (isPastDeadline(nowNanos)) {
            return onDeadline(nowNanos);
        }
        if (mClaimId.isEmpty()) {
            mClaimId = mClaimIdSupplier.get();
        }
        // Rounded up, so that the claim does not become UNKNOWN while this router may still send.
        long millis = TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - nowNanos) + 1;
        return new Decision.Claim(mClaimId, millis);
    }

    /** Handles the control group's reply; ignores replies to other claim ids. */
    public Decision onClaim(ClaimReply reply, long nowNanos) {
        if (!reply.getClaimId().equals(mClaimId) || mClaimGranted) {
            return new Decision.Wait();
        }
        if (mState == State.FINISHED) {
            return onClaimAfterFinish(reply);
        }
        return switch (reply.getOutcome()) {
            case CLAIM_GRANTED -> {
                mClaimGranted = true;
                mOtherCallMayRun = false;
                mState = State.WAITING_FOR_SLOT;
                yield isPastDeadline(nowNanos) ? onDeadline(nowNanos) : new Decision.GetSlot();
            }
            case CLAIM_IN_PROGRESS -> {
                mOtherCallMayRun = true;
                yield isPastDeadline(nowNanos)
                        ? onDeadline(nowNanos)
                        : new Decision.RetryClaim(CLAIM_RETRY_DELAY_MILLIS);
            }
            case CLAIM_DONE -> finish(new RequestOutcome.EarlierAnswer(reply.getAnswer()));
            case CLAIM_KEY_REUSED -> finish(new RequestOutcome.NotRun(RefusalReason.KEY_REUSED));
            case CLAIM_UNKNOWN -> finish(new RequestOutcome.Unknown(RefusalReason.OUTCOME_UNKNOWN));
            default -> finishUnclaimed();
        };
    }

    private Decision onClaimAfterFinish(ClaimReply reply) {
        switch (reply.getOutcome()) {
            case CLAIM_GRANTED -> {
                mClaimGranted = true;
                return endClaim(ClaimEndState.CLAIM_END_NOT_RUN);
            }
            default -> {
                return new Decision.Wait();
            }
        }
    }

    /**
     * Returns {@code Send}, or the outcome if the deadline has passed. Must be called immediately
     * before the write with a fresh time, since the process may have been paused.
     */
    public Decision beforeSend(long nowNanos) {
        if (mState != State.WAITING_FOR_SLOT) {
            return new Decision.Wait();
        }
        if (isPastDeadline(nowNanos)) {
            return onDeadline(nowNanos);
        }
        checkState(mKind != CallKind.KEYED || mClaimGranted, "no claim for request %s", mId);
        if (mAttempt == 0) {
            mBudget.onRequest(nowNanos);
        }
        mAttempt++;
        mState = State.SENT;
        return new Decision.Send(new AttemptId(mId, mAttempt));
    }

    /** Handles an event of an attempt. */
    public Decision onEvent(AttemptEvent event, long nowNanos) {
        if (event.attempt() != mAttempt || mState != State.SENT) {
            return onLateEvent(event);
        }
        if (event instanceof AttemptEvent.AnswerComplete) {
            return finish(new RequestOutcome.Answer(), ClaimEndState.CLAIM_END_DONE);
        }
        if (event instanceof AttemptEvent.ServerError) {
            return onServerError(nowNanos);
        }
        if (event instanceof AttemptEvent.ConnectFailed) {
            return onNotRun(RetryReason.CONNECT_FAILED, RefusalReason.BACKEND_FAILED, nowNanos);
        }
        if (event instanceof AttemptEvent.ServerNotRun) {
            return onNotRun(RetryReason.BACKEND_NOT_RUN, RefusalReason.BACKEND_REFUSED, nowNanos);
        }
        if (event instanceof AttemptEvent.ConnectionSilent e) {
            ServerChoice choice = e.serverAnswers() ? ServerChoice.SAME : ServerChoice.OTHER;
            mResumeAt = Math.max(mResumeAt, e.nextSequence());
            return mKind == CallKind.IDEMPOTENT
                    ? retryOrUnknown(RetryReason.CONNECTION_SILENT, choice, nowNanos)
                    : new Decision.Wait();
        }
        if (event instanceof AttemptEvent.SlotRecalled e) {
            return onRecall(e, nowNanos);
        }
        if (event instanceof AttemptEvent.StreamTruncated e) {
            mResumeAt = Math.max(mResumeAt, e.nextSequence());
            ServerChoice choice =
                    mLastChoice == ServerChoice.SAME ? ServerChoice.OTHER : ServerChoice.SAME;
            return retryOrUnknown(RetryReason.STREAM_TRUNCATED, choice, nowNanos);
        }
        RetryReason reason =
                event instanceof AttemptEvent.CrossedAnswer
                        ? RetryReason.CROSSED_ANSWER
                        : RetryReason.CONNECTION_CLOSED;
        return retryOrUnknown(reason, ServerChoice.OTHER, nowNanos);
    }

    /** Finishes the request at its deadline. */
    public Decision onDeadline(long nowNanos) {
        return switch (mState) {
            case CLAIMING -> finishUnclaimed();
            case WAITING_FOR_SLOT -> finishUnsent(RefusalReason.DEADLINE_PASSED);
            case SENT -> {
                mMayHaveRun = true;
                yield finish(
                        new RequestOutcome.Unknown(RefusalReason.OUTCOME_UNKNOWN),
                        ClaimEndState.CLAIM_END_UNKNOWN);
            }
            case FINISHED -> new Decision.Wait();
        };
    }

    /** Refuses a request that waits for its claim or slot; a request in flight is not affected. */
    public Decision refuse(RefusalReason reason) {
        return switch (mState) {
            case CLAIMING ->
                    mOtherCallMayRun
                            ? finishUnclaimed()
                            : finish(new RequestOutcome.NotRun(reason));
            case WAITING_FOR_SLOT -> finishUnsent(reason);
            case SENT, FINISHED -> new Decision.Wait();
        };
    }

    /** Returns the number of the first missing stream event. */
    public long resumeAt() {
        return mResumeAt;
    }

    private Decision onNotRun(RetryReason retry, RefusalReason refusal, long nowNanos) {
        mState = State.WAITING_FOR_SLOT;
        if (mKind == CallKind.UNKEYED) {
            return finishUnsent(refusal);
        }
        Optional<RefusalReason> refused = acquireRetry(refusal, nowNanos);
        if (refused.isPresent()) {
            return finishUnsent(refused.get());
        }
        Optional<ClaimEndState> end = Optional.empty();
        if (mKind == CallKind.KEYED && retry == RetryReason.BACKEND_NOT_RUN) {
            // Bytes were sent under this claim, and one claim permits one send.
            end = Optional.of(ClaimEndState.CLAIM_END_NOT_RUN);
            mState = State.CLAIMING;
            mClaimGranted = false;
            mClaimId = "";
        }
        mLastChoice = ServerChoice.OTHER;
        return new Decision.Retry(retry, ServerChoice.OTHER, mResumeAt, end);
    }

    private Decision onServerError(long nowNanos) {
        if (mKind == CallKind.IDEMPOTENT
                && acquireRetry(RefusalReason.BACKEND_FAILED, nowNanos).isEmpty()) {
            mMayHaveRun = true;
            return retry(RetryReason.BACKEND_ERROR, ServerChoice.OTHER);
        }
        return finish(new RequestOutcome.Answer(), ClaimEndState.CLAIM_END_DONE);
    }

    private Decision onRecall(AttemptEvent.SlotRecalled event, long nowNanos) {
        if (mKind != CallKind.IDEMPOTENT
                || acquireRetry(RefusalReason.BACKEND_REFUSED, nowNanos).isPresent()) {
            return new Decision.Wait();
        }
        mMayHaveRun = true;
        mResumeAt = Math.max(mResumeAt, event.nextSequence());
        return retry(RetryReason.SLOT_RECALLED, ServerChoice.OTHER);
    }

    private Decision retryOrUnknown(RetryReason reason, ServerChoice choice, long nowNanos) {
        mMayHaveRun = true;
        if (mKind != CallKind.IDEMPOTENT) {
            return finish(
                    new RequestOutcome.Unknown(RefusalReason.OUTCOME_UNKNOWN),
                    ClaimEndState.CLAIM_END_UNKNOWN);
        }
        RefusalReason refusal =
                reason == RetryReason.STREAM_TRUNCATED
                        ? RefusalReason.STREAM_TRUNCATED
                        : RefusalReason.BACKEND_FAILED;
        Optional<RefusalReason> refused = acquireRetry(refusal, nowNanos);
        return refused.isPresent()
                ? finish(new RequestOutcome.Unknown(refused.get()))
                : retry(reason, choice);
    }

    private Decision retry(RetryReason reason, ServerChoice choice) {
        mState = State.WAITING_FOR_SLOT;
        mLastChoice = choice;
        return new Decision.Retry(reason, choice, mResumeAt, Optional.empty());
    }

    /** Takes a retry from the budget, or returns the reason why no retry is allowed. */
    private Optional<RefusalReason> acquireRetry(RefusalReason lastFailure, long nowNanos) {
        if (isPastDeadline(nowNanos)) {
            return Optional.of(RefusalReason.DEADLINE_PASSED);
        }
        if (mAttempt >= MAX_ATTEMPTS) {
            return Optional.of(lastFailure);
        }
        return mBudget.tryRetry(nowNanos)
                ? Optional.empty()
                : Optional.of(RefusalReason.RETRY_BUDGET_EMPTY);
    }

    /** An event after the deadline can still settle the UNKNOWN end of the claim. */
    private Decision onLateEvent(AttemptEvent event) {
        if (event.attempt() != mAttempt
                || !mClaimEnd.equals(Optional.of(ClaimEndState.CLAIM_END_UNKNOWN))) {
            return new Decision.Wait();
        }
        if (event instanceof AttemptEvent.AnswerComplete
                || event instanceof AttemptEvent.ServerError) {
            return endClaim(ClaimEndState.CLAIM_END_DONE);
        }
        if (event instanceof AttemptEvent.ServerNotRun
                || event instanceof AttemptEvent.ConnectFailed) {
            return endClaim(ClaimEndState.CLAIM_END_NOT_RUN);
        }
        return new Decision.Wait();
    }

    private Decision endClaim(ClaimEndState end) {
        mClaimEnd = Optional.of(end);
        return new Decision.EndClaim(end);
    }

    private Decision finishUnclaimed() {
        return finish(
                mOtherCallMayRun
                        ? new RequestOutcome.Unknown(RefusalReason.KEY_IN_PROGRESS)
                        : new RequestOutcome.NotRun(RefusalReason.CLAIM_UNAVAILABLE));
    }

    private Decision finishUnsent(RefusalReason reason) {
        return finish(
                mMayHaveRun
                        ? new RequestOutcome.Unknown(reason)
                        : new RequestOutcome.NotRun(reason),
                ClaimEndState.CLAIM_END_NOT_RUN);
    }

    private Decision finish(RequestOutcome outcome) {
        mState = State.FINISHED;
        return new Decision.Finish(outcome, Optional.empty());
    }

    private Decision finish(RequestOutcome outcome, ClaimEndState end) {
        mState = State.FINISHED;
        if (mClaimGranted) {
            mClaimEnd = Optional.of(end);
        }
        return new Decision.Finish(outcome, mClaimEnd);
    }

    private boolean isPastDeadline(long nowNanos) {
        return nowNanos - mDeadlineNanos >= 0;
    }
}
