package org.jacinthwharf.request.outcome;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.process.metrics.RetryReason;
import org.jacinthwharf.request.outcome.Decision.ServerChoice;
import org.jacinthwharf.wire.generated.ClaimOutcome;
import org.jacinthwharf.wire.generated.ClaimReply;
import org.junit.jupiter.api.Test;

/** Tests the retry rules, mainly of calls without a claim. */
final class RequestAttemptsTest {
    private final RequestAttempts mIdempotent = attempts(CallKind.IDEMPOTENT);
    private final RequestAttempts mUnkeyed = attempts(CallKind.UNKEYED);

    /** The first attempt may have run, whatever is proven about the second one (G7). */
    @Test
    void provenNotRunAfterAnUnknownAttemptIsStillUnknown() {
        mIdempotent.beforeSend(0);
        assertThat(mIdempotent.onEvent(new AttemptEvent.ConnectionClosed(1), 0))
                .isEqualTo(retry(RetryReason.CONNECTION_CLOSED, ServerChoice.OTHER, 1));
        assertThat(mIdempotent.refuse(RefusalReason.NO_BACKEND_SERVER))
                .isEqualTo(finish(new RequestOutcome.Unknown(RefusalReason.NO_BACKEND_SERVER)));
    }

    /**
     * A silent connection must neither move the request to another server nor lose its position.
     */
    @Test
    void silentConnectionIsReplacedAtTheSameServerAndResumed() {
        mIdempotent.beforeSend(0);
        assertThat(mIdempotent.onEvent(new AttemptEvent.ConnectionSilent(1, true, 5), 0))
                .isEqualTo(retry(RetryReason.CONNECTION_SILENT, ServerChoice.SAME, 5));
        mIdempotent.beforeSend(0);
        assertThat(mIdempotent.onEvent(new AttemptEvent.ConnectFailed(2), 0))
                .isEqualTo(retry(RetryReason.CONNECT_FAILED, ServerChoice.OTHER, 5));
        mIdempotent.beforeSend(0);
        assertThat(mIdempotent.onEvent(new AttemptEvent.SlotRecalled(3, 7), 0))
                .isEqualTo(retry(RetryReason.SLOT_RECALLED, ServerChoice.OTHER, 7));
    }

    /** A retried call without a key could run twice, even if its slot was recalled (G8). */
    @Test
    void unkeyedCallIsSentOnce() {
        mUnkeyed.beforeSend(0);
        assertThat(mUnkeyed.onEvent(new AttemptEvent.SlotRecalled(1, 1), 0))
                .isEqualTo(new Decision.Wait());
        assertThat(mUnkeyed.onEvent(new AttemptEvent.ConnectionSilent(1, false, 1), 0))
                .isEqualTo(new Decision.Wait());
        assertThat(mUnkeyed.beforeSend(0)).isEqualTo(new Decision.Wait());
        assertThat(mUnkeyed.onDeadline(10))
                .isEqualTo(finish(new RequestOutcome.Unknown(RefusalReason.OUTCOME_UNKNOWN)));
    }

    /** One claim permits one send; a retry needs a new claim after the first one ended (3.3). */
    @Test
    void keyedCallIsClaimedAgainAfterTheServerProvedNotRun() {
        RequestAttempts keyed = attempts(CallKind.KEYED);
        keyed.start(0);
        keyed.onClaim(ClaimReply.newBuilder().setOutcome(ClaimOutcome.CLAIM_GRANTED).build(), 0);
        keyed.beforeSend(0);
        keyed.onEvent(new AttemptEvent.ServerNotRun(1), 0);
        assertThat(keyed.beforeSend(0)).isEqualTo(new Decision.Wait());
        assertThat(keyed.claim(0)).isInstanceOf(Decision.Claim.class);
    }

    /** A plain 503 proves nothing; taking it for a proof would retry calls that ran. */
    @Test
    void onlyTheStatedAnswersProveThatNothingRan() {
        assertThat(NotRunProof.isProof(425, "")).isTrue();
        assertThat(NotRunProof.isProof(503, "true")).isTrue();
        assertThat(NotRunProof.isProof(503, "")).isFalse();
        assertThat(NotRunProof.isProof(500, "true")).isFalse();
    }

    private static RequestAttempts attempts(CallKind kind) {
        return new RequestAttempts(RequestId.of("r"), kind, 10, new RetryBudget(0), () -> "");
    }

    private static Decision retry(RetryReason reason, ServerChoice server, long resumeAt) {
        return new Decision.Retry(reason, server, resumeAt, Optional.empty());
    }

    private static Decision finish(RequestOutcome outcome) {
        return new Decision.Finish(outcome, Optional.empty());
    }
}
