package org.jacinthwharf.request.outcome;

import java.util.Optional;
import org.jacinthwharf.id.RequestId;

/**
 * Decides whether an answer belongs to the open attempt of one request.
 *
 * <p>Invariant: at most one answer is accepted per attempt, and only of the open attempt. An answer
 * without an identity is crossed, since nothing shows whose it is.
 *
 * <p>Not thread-safe; used on the event loop.
 */
public final class AnswerMatcher {
    /** What to do with an answer. */
    public enum Match {
        /** It is the answer to the open attempt. */
        ACCEPTED,
        /** It answers another request, or an attempt that was never made; dropped. */
        CROSSED,
        /** It answers an attempt of this request that has ended; dropped. */
        LATE,
        /** It answers the open attempt a second time; dropped. */
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

    /** Opens an attempt; the one before it has ended. */
    public void onSend(AttemptId attempt) {
        mAttempt = attempt.attempt();
        mOpen = true;
        mAnswered = false;
    }

    /** Ends the open attempt without an answer. */
    public void onGiveUp() {
        mOpen = false;
    }

    /** Decides about an answer, once per answer; {@code echoed} is the identity that it carries. */
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
