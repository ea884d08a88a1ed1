package org.jacinthwharf.request.outcome;

import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.wire.generated.StoredAnswer;

/**
 * How a request ended for its caller. Immutable.
 *
 * <p>Invariant: {@link NotRun} is used only if no backend server can have run the call.
 */
public sealed interface RequestOutcome {
    /** The backend server's complete answer, possibly with an error status. */
    record Answer() implements RequestOutcome {}

    /**
     * The stored answer to an earlier call with the same request key.
     *
     * @param answer the stored answer, possibly without its body
     */
    record EarlierAnswer(StoredAnswer answer) implements RequestOutcome {}

    /**
     * The call did not run.
     *
     * @param reason why it was refused
     */
    record NotRun(RefusalReason reason) implements RequestOutcome {}

    /**
     * The call may have run, but no complete answer was received.
     *
     * @param reason why the router stopped waiting for an answer
     */
    record Unknown(RefusalReason reason) implements RequestOutcome {}
}
