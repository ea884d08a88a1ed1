package org.jacinthwharf.request.outcome;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides which events of a stream go to the caller, over all attempts.
 *
 * <p>Events are numbered from 1; the end event states how many came before it and has no number of
 * its own. Invariants: the caller gets the events 1, 2, 3 and so on, each once and in order; the
 * stream is complete only if the end event states the number of events that the caller got. After a
 * gap nothing of the same connection is passed on, since a later event would leave a hole.
 *
 * <p>Not thread-safe; used on the event loop. Constant memory: it holds positions, not events.
 */
public final class StreamAssembler {
    /** What to do with an event, or how a stream stands. */
    public enum Step {
        /** Pass the event on. */
        DELIVER,
        /** The caller has the event already; dropped. */
        DUPLICATE,
        /** Everything arrived; pass the end event on. */
        COMPLETE,
        /** Events are missing; resume at {@link StreamAssembler#nextSequence}. */
        TRUNCATED
    }

    private long mNext;
    private boolean mBroken;
    private boolean mComplete;

    private StreamAssembler(long next) {
        mNext = next;
    }

    /** Returns an assembler of a whole stream. */
    public static StreamAssembler fromStart() {
        return new StreamAssembler(1);
    }

    /**
     * Returns an assembler for a caller that has all events up to {@code lastSequence}.
     *
     * @throws IllegalArgumentException if {@code lastSequence} is negative
     */
    public static StreamAssembler after(long lastSequence) {
        checkArgument(lastSequence >= 0, "negative sequence: %s", lastSequence);
        return new StreamAssembler(lastSequence + 1);
    }

    /** Decides about an event with the given number. */
    public Step onEvent(long sequence) {
        if (sequence > 0 && sequence < mNext) {
            return Step.DUPLICATE;
        }
        if (mComplete) {
            return Step.DUPLICATE;
        }
        if (mBroken || sequence != mNext) {
            mBroken = true;
            return Step.TRUNCATED;
        }
        mNext++;
        return Step.DELIVER;
    }

    /** Decides about the end event, which states the number of events of the whole stream. */
    public Step onEnd(long events) {
        if (mComplete) {
            return Step.DUPLICATE;
        }
        if (mBroken || events != mNext - 1) {
            mBroken = true;
            return Step.TRUNCATED;
        }
        mComplete = true;
        return Step.COMPLETE;
    }

    /** Decides about the end of the connection. */
    public Step onClosed() {
        mBroken = !mComplete;
        return mComplete ? Step.COMPLETE : Step.TRUNCATED;
    }

    /** Starts on the connection of the next attempt, which was asked for {@link #nextSequence}. */
    public void onResume() {
        mBroken = false;
    }

    /** Returns the number of the first event that the caller does not have. */
    public long nextSequence() {
        return mNext;
    }
}
