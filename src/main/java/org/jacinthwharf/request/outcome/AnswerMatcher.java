package org.jacinthwharf.request.outcome;

import java.util.Optional;
import org.jacinthwharf.id.RequestId;

/**
 * Decides whether an answer belongs to the open attempt of one request.
 *
 * <p>Invariant: at most one answer is accepted per attempt, and only of the open attempt. An answer
 * without an attempt id is crossed, since nothing shows which request it belongs to.
 *
 * <p>Not thread-safe; used on the event loop.
 */
public final class AnswerMatcher {
    /** How an answer relates to the open attempt. */
    public enum Match {
        /** The first answer to the open attempt. */
        ACCEPTED,
        /** An answer to another request, or to an attempt that was never made; dropped. */
        CROSSED,
        /** An answer to an attempt of this request that has ended; dropped. */
        LATE,
        /** Another answer to the open attempt; dropped. */
        DUPLICATE
    }

    private final RequestId mRequest;
    private int mAttempt;
    private boolean mOpen;
    private boolean mAnswered;

    /** Creates a matcher without an open attempt. */
    public AnswerMatcher(RequestId request) {
        mRequest = request;
    }

    /** Opens an attempt and ends the previous one. */
    public void onSend(AttemptId attempt) {
        mAttempt = attempt.attempt();
        mOpen = true;
        mAnswered = false;
    }

    /** Ends the open attempt without an answer. */
    public void onAbandon() {
        mOpen = false;
    }

    /**
     * Classifies an answer; called once per answer.
     *
     * @param echoed the attempt id that the answer carries
     */
    public Match onAnswer(Optional<AttemptId> echoed) {
        if (echoed.isEmpty()
                || !echoed.get().request().equals(mRequest)
                || echoed.get().attempt() > mAttempt) {
            return Match.CROSSED;
        }
        if (echoed.get().attempt() < mAttempt) {
            return Match.LATE;
        }
        if (mAnswered) {
            return Match.DUPLICATE;
        }
        if (!mOpen) {
            return Match.LATE;
        }
        mAnswered = true;
        return Match.ACCEPTED;
    }
}
