package org.jacinthwharf.request.outcome;

/**
 * A connection or server event of one attempt of a request. Immutable.
 *
 * <p>The attempt number identifies late events, which belong to abandoned attempts.
 */
public sealed interface AttemptEvent {
    /** Returns the number of the attempt that the event belongs to. */
    int attempt();

    /** No connection was made, or it failed before any byte of the request was written to it. */
    record ConnectFailed(int attempt) implements AttemptEvent {}

    /** The connection closed after request bytes were written and before a complete answer. */
    record ConnectionClosed(int attempt) implements AttemptEvent {}

    /**
     * Nothing has arrived on the connection for too long.
     *
     * @param attempt number of the attempt
     * @param serverAnswers whether the server responds on a new connection
     * @param nextSequence number of the first missing stream event, 1 if none arrived
     */
    record ConnectionSilent(int attempt, boolean serverAnswers, long nextSequence)
            implements AttemptEvent {}

    /** The server proved that it did not run the call; see {@link NotRunProof}. */
    record ServerNotRun(int attempt) implements AttemptEvent {}

    /**
     * A complete answer with a server error status that does not prove that the call did not run.
     */
    record ServerError(int attempt) implements AttemptEvent {}

    /** The connection of the attempt carried an answer to another attempt, which was dropped. */
    record CrossedAnswer(int attempt) implements AttemptEvent {}

    /**
     * The stream ended without its end event, or with a gap.
     *
     * @param attempt number of the attempt
     * @param nextSequence number of the first missing event
     */
    record StreamTruncated(int attempt, long nextSequence) implements AttemptEvent {}

    /**
     * The server's owner recalled the slot.
     *
     * @param attempt number of the attempt
     * @param nextSequence number of the first missing stream event, 1 if none arrived
     */
    record SlotRecalled(int attempt, long nextSequence) implements AttemptEvent {}

    /** The complete answer to the attempt arrived. */
    record AnswerComplete(int attempt) implements AttemptEvent {}
}
