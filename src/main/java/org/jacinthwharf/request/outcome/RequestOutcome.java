package org.jacinthwharf.request.outcome;

import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.wire.generated.StoredAnswer;

/**
 * How a request ended for its caller. Immutable.
 *
 * <p>Invariant: {@link NotRun} is used only if no backend server can have run the call.
 */
public sealed interface RequestOutcome {
    /** The backend server's complete answer, an error status included. */
    record Answer() implements RequestOutcome {}

    /**
     * The answer that an earlier call with the same request key got.
     *
     * @param answer the stored answer; its body may not have been kept
     */
    record EarlierAnswer(StoredAnswer answer) implements RequestOutcome {}

    /**
     * The call did not run.
     *
     * @param reason why it was refused
     */
    record NotRun(RefusalReason reason) implements RequestOutcome {}

    /**
     * The call may have run, and no complete answer is there.
     *
     * @param reason what ended the wait for an answer
     */
    record Unknown(RefusalReason reason) implements RequestOutcome {}
}
