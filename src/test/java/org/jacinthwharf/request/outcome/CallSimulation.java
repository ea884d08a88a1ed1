package org.jacinthwharf.request.outcome;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.wire.generated.ClaimEnd;
import org.jacinthwharf.wire.generated.ClaimEndState;
import org.jacinthwharf.wire.generated.ClaimReply;
import org.jacinthwharf.wire.generated.ClaimRequest;

/**
 * Simulates calls with one request key at several routers, a control group and a backend server
 * that executes every call that reaches it. Steps that are impossible in the current state are
 * ignored.
 */
final class CallSimulation {
    private static final long DEADLINE_MILLIS = 1_000;

    private final RetryBudget mBudget = new RetryBudget(0);
    private final Map<String, Call> mCalls = new HashMap<>();
    private ClaimTable mTable = new ClaimTable();
    private long mNowMillis;
    private int mClaimIds;
    private int mExecutions;

    /** One call at one router. */
    private static final class Call {
        RequestAttempts mAttempts;
        Optional<Decision.Claim> mClaim = Optional.empty();
        Optional<ClaimReply> mDelayedReply = Optional.empty();
        Optional<ClaimEnd> mEnd = Optional.empty();
        Optional<RequestOutcome> mOutcome = Optional.empty();
        int mAttempt;
        int mWritten;
        int mReached;
        int mExecuted;
        boolean mIsKilled;
    }

    int executions() {
        return mExecutions;
    }

    boolean isRun(String name) {
        return mCalls.containsKey(name) && mCalls.get(name).mExecuted > 0;
    }

    Optional<RequestOutcome> outcome(String name) {
        return Optional.ofNullable(mCalls.get(name)).flatMap(c -> c.mOutcome);
    }

    void step(String name, String step) {
        Call call = mCalls.computeIfAbsent(name, n -> new Call());
        switch (step) {
            case "reach" -> reach(call);
            case "execute" -> execute(call);
            case "tableDeadline" -> mNowMillis += DEADLINE_MILLIS + 2;
            case "restoreControl" -> {
                ClaimTable restored = new ClaimTable();
                restored.restore(mTable.records());
                mTable = restored;
            }
            default -> {
                if (!call.mIsKilled) {
                    routerStep(name, call, step);
                }
            }
        }
    }

    private void routerStep(String name, Call call, String step) {
        if (call.mAttempts == null) {
            if (step.equals("arrive")) {
                call.mAttempts =
                        new RequestAttempts(
                                RequestId.of(name),
                                CallKind.KEYED,
                                nowNanos() + DEADLINE_MILLIS * 1_000_000,
                                mBudget,
                                () -> name + "-" + mClaimIds++);
                apply(call, call.mAttempts.start(nowNanos()));
            }
            return;
        }
        switch (step) {
            case "claim" -> commitClaim(name, call).ifPresent(r -> deliver(call, r));
            case "claimReplyLost" -> call.mDelayedReply = commitClaim(name, call);
            case "claimLate" -> call.mDelayedReply.ifPresent(r -> deliver(call, r));
            case "claimUnavailable" ->
                    call.mClaim.ifPresent(
                            c ->
                                    deliver(
                                            call,
                                            ClaimReply.newBuilder()
                                                    .setClaimId(c.claimId())
                                                    .build()));
            case "poll" -> apply(call, call.mAttempts.claim(nowNanos()));
            case "send" -> apply(call, call.mAttempts.beforeSend(nowNanos()));
            case "deadline" -> {
                mNowMillis += DEADLINE_MILLIS + 1;
                apply(call, call.mAttempts.onDeadline(nowNanos()));
            }
            case "end" ->
                    call.mEnd.ifPresent(
                            e -> {
                                mTable.end(e, mNowMillis);
                                call.mEnd = Optional.empty();
                                apply(call, call.mAttempts.claim(nowNanos()));
                            });
            case "kill" -> call.mIsKilled = true;
            default -> serverStep(call, step);
        }
    }

    /** Steps that a correct server and network allow for the latest attempt. */
    private void serverStep(Call call, String step) {
        boolean inFlight = call.mWritten == call.mAttempt && call.mAttempt > 0;
        boolean ran = call.mExecuted > 0;
        switch (step) {
            case "answer" -> {
                if (ran) {
                    event(call, new AttemptEvent.AnswerComplete(call.mAttempt));
                }
            }
            case "notRun" -> {
                if (inFlight && !ran) {
                    call.mWritten = 0;
                    call.mReached = 0;
                    event(call, new AttemptEvent.ServerNotRun(call.mAttempt));
                }
            }
            case "connectFailed" -> {
                if (inFlight && !ran && call.mReached == 0) {
                    call.mWritten = 0;
                    event(call, new AttemptEvent.ConnectFailed(call.mAttempt));
                }
            }
            case "closed" -> {
                if (inFlight) {
                    event(call, new AttemptEvent.ConnectionClosed(call.mAttempt));
                }
            }
            case "silent" -> {
                if (inFlight) {
                    event(call, new AttemptEvent.ConnectionSilent(call.mAttempt, true, 1));
                }
            }
            default -> {}
        }
    }

    private void reach(Call call) {
        if (call.mWritten > 0) {
            call.mReached = call.mWritten;
        }
    }

    /** Executes a call that reached the server, even if its router gave up or was killed. */
    private void execute(Call call) {
        if (call.mReached > 0 && call.mReached != call.mExecuted) {
            call.mExecuted = call.mReached;
            mExecutions++;
        }
    }

    private Optional<ClaimReply> commitClaim(String name, Call call) {
        return call.mClaim.map(
                c ->
                        mTable.claim(
                                ClaimRequest.newBuilder()
                                        .setClaimId(c.claimId())
                                        .setCustomer("customer")
                                        .setRequestKey("key")
                                        .setBodyHash(ByteString.copyFromUtf8("body"))
                                        .setRouter(name)
                                        .setTimeoutMillis(c.timeoutMillis())
                                        .build(),
                                mNowMillis));
    }

    private void deliver(Call call, ClaimReply reply) {
        apply(call, call.mAttempts.onClaim(reply, nowNanos()));
    }

    private void event(Call call, AttemptEvent event) {
        apply(call, call.mAttempts.onEvent(event, nowNanos()));
    }

    private void apply(Call call, Decision decision) {
        if (decision instanceof Decision.Claim c) {
            call.mClaim = Optional.of(c);
        } else if (decision instanceof Decision.Send s) {
            call.mAttempt = s.attempt().attempt();
            call.mWritten = call.mAttempt;
        } else if (decision instanceof Decision.Retry r) {
            r.claimEnd().ifPresent(e -> end(call, e));
        } else if (decision instanceof Decision.EndClaim e) {
            end(call, e.state());
        } else if (decision instanceof Decision.Finish f) {
            call.mOutcome = Optional.of(f.outcome());
            f.claimEnd().ifPresent(e -> end(call, e));
        }
    }

    private void end(Call call, ClaimEndState state) {
        call.mEnd =
                Optional.of(
                        ClaimEnd.newBuilder()
                                .setClaimId(call.mClaim.orElseThrow().claimId())
                                .setCustomer("customer")
                                .setRequestKey("key")
                                .setState(state)
                                .setAnswer(StoredAnswers.of(200, "", ByteString.EMPTY))
                                .build());
    }

    private long nowNanos() {
        return mNowMillis * 1_000_000;
    }
}
