package org.jacinthwharf.request.outcome;

import java.util.Optional;
import org.jacinthwharf.process.metrics.RetryReason;
import org.jacinthwharf.wire.generated.ClaimEndState;

/** The next action of a router for a request. Immutable. */
public sealed interface Decision {
    /** The preferred backend server for the next attempt, if there is a choice. */
    enum ServerChoice {
        /** The server of the last attempt, on a new connection. */
        SAME,
        /** A server other than that of the last attempt. */
        OTHER
    }

    /**
     * Claim the request key at the control group.
     *
     * @param claimId identical for every retransmission and retry of the claim
     * @param timeoutMillis timeout of the claim; it does not expire before the request's deadline
     */
    record Claim(String claimId, long timeoutMillis) implements Decision {}

    /** Call {@link RequestAttempts#claim} again after a delay, since another call holds the key. */
    record RetryClaim(long delayMillis) implements Decision {}

    /** Acquire a slot, then call {@link RequestAttempts#beforeSend}. */
    record GetSlot() implements Decision {}

    /** Send the request now with this attempt id. */
    record Send(AttemptId attempt) implements Decision {}

    /**
     * Retry the request with a new attempt, after cancelling the current one if it is still open.
     *
     * @param reason recorded in the retry metrics
     * @param server the server to prefer
     * @param resumeAt number of the first missing stream event; 1 requests the whole answer
     * @param claimEnd state to report for the claim. If present, report it, then call {@link
     *     RequestAttempts#claim}; otherwise call {@link RequestAttempts#beforeSend} when a slot is
     *     available
     */
    record Retry(
            RetryReason reason,
            ServerChoice server,
            long resumeAt,
            Optional<ClaimEndState> claimEnd)
            implements Decision {}

    /** Do nothing and keep waiting. */
    record Wait() implements Decision {}

    /**
     * End the request and send its outcome to the caller.
     *
     * @param outcome determines the answer
     * @param claimEnd state to report for the claim, if any; DONE is reported before answering
     */
    record Finish(RequestOutcome outcome, Optional<ClaimEndState> claimEnd) implements Decision {}

    /** Report the end of the claim; the caller already has its answer. */
    record EndClaim(ClaimEndState state) implements Decision {}
}
