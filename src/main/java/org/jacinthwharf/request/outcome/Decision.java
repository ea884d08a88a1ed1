package org.jacinthwharf.request.outcome;

import java.util.Optional;
import org.jacinthwharf.process.metrics.RetryReason;
import org.jacinthwharf.wire.generated.ClaimEndState;

/** What the router does next with a request. Immutable. */
public sealed interface Decision {
    /** Which backend server the next attempt should use, if there is a choice. */
    enum ServerChoice {
        /** The server of the last attempt, on a new connection. */
        SAME,
        /** Another server than that of the last attempt. */
        OTHER
    }

    /**
     * Claim the request key at the control group.
     *
     * @param claimId the same when the claim is resent or repeated
     * @param timeoutMillis for the claim; the table's deadline is then not before the request's
     */
    record Claim(String claimId, long timeoutMillis) implements Decision {}

    /** Ask {@link RequestAttempts#claim} again after a pause, since another call holds the key. */
    record ClaimLater(long delayMillis) implements Decision {}

    /** Get a slot, then ask {@link RequestAttempts#beforeSend}. */
    record GetSlot() implements Decision {}

    /** Send the request now, with this identity. */
    record Send(AttemptId attempt) implements Decision {}

    /**
     * Give the attempt up and make another one.
     *
     * @param reason counted
     * @param server where to
     * @param resumeAt first event of the stream that is missing; 1 asks for the whole answer
     * @param claimEnd to report before {@link RequestAttempts#claim} is asked; if empty, go on with
     *     {@link RequestAttempts#beforeSend} as soon as there is a slot
     */
    record Retry(
            RetryReason reason,
            ServerChoice server,
            long resumeAt,
            Optional<ClaimEndState> claimEnd)
            implements Decision {}

    /** Nothing; go on waiting. */
    record Wait() implements Decision {}

    /**
     * Answer the caller.
     *
     * @param outcome what to answer
     * @param claimEnd to report to the control group, before the answer where it is DONE
     */
    record Finish(RequestOutcome outcome, Optional<ClaimEndState> claimEnd) implements Decision {}

    /** Report the end of the claim; the caller already has its answer. */
    record EndClaim(ClaimEndState state) implements Decision {}
}
