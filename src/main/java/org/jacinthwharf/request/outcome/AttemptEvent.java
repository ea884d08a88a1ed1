package org.jacinthwharf.request.outcome;

/**
 * What happened to one attempt of a request. Immutable.
 *
 * <p>The attempt number decides whether an event still counts: events of attempts that were given
 * up are late.
 */
public sealed interface AttemptEvent {
    /** Returns the number of the attempt that the event is about. */
    int attempt();

    /** No connection was made, or it failed before any byte of the request was written to it. */
    record ConnectFailed(int attempt) implements AttemptEvent {}

    /** The connection closed after bytes were written and before a complete answer. */
    record ConnectionClosed(int attempt) implements AttemptEvent {}

    /**
     * The connection is silent.
     *
     * @param attempt number of the attempt
     * @param serverAnswers whether the server answers on a new connection
     * @param nextSequence first event of the stream that is missing, 1 if none arrived
     */
    record ConnectionSilent(int attempt, boolean serverAnswers, long nextSequence)
            implements AttemptEvent {}

    /** The server proved that it did not run the call; see {@link NotRunProof}. */
    record ServerNotRun(int attempt) implements AttemptEvent {}

    /** A complete answer with a server error status, other than a proof of not running. */
    record ServerError(int attempt) implements AttemptEvent {}

    /** The connection of the attempt carried the answer to another one, which was dropped. */
    record CrossedAnswer(int attempt) implements AttemptEvent {}

    /**
     * The stream ended without its end event, or with a gap.
     *
     * @param attempt number of the attempt
     * @param nextSequence first event that is missing
     */
    record StreamTruncated(int attempt, long nextSequence) implements AttemptEvent {}

    /**
     * The server's owner recalled the slot.
     *
     * @param attempt number of the attempt
     * @param nextSequence first event of the stream that is missing, 1 if none arrived
     */
    record SlotRecalled(int attempt, long nextSequence) implements AttemptEvent {}

    /** The complete answer to the attempt arrived. */
    record AnswerComplete(int attempt) implements AttemptEvent {}
}
