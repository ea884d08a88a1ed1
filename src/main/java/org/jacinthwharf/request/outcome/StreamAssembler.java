package org.jacinthwharf.request.outcome;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides which stream events are delivered to the caller, across all attempts.
 *
 * <p>Events are numbered from 1; the end event is unnumbered and states how many events preceded
 * it. Invariants: the caller receives the events 1, 2, 3 and so on, each once and in order; the
 * stream is complete only if the end event states the number of delivered events. After a gap
 * nothing more of the same connection is delivered, since a later event would leave a gap at the
 * caller.
 *
 * <p>Not thread-safe; used on the event loop. Constant memory: only positions are stored.
 */
public final class StreamAssembler {
    /** The handling of an event, or the state of the stream. */
    public enum Step {
        /** Deliver the event to the caller. */
        DELIVER,
        /** The event was already delivered; dropped. */
        DUPLICATE,
        /** All events arrived; deliver the end event. */
        COMPLETE,
        /** Events are missing; resume at {@link StreamAssembler#nextSequence}. */
        TRUNCATED
    }

    private long mNext;
    private boolean mTruncated;
    private boolean mComplete;

    private StreamAssembler(long next) {
        mNext = next;
    }

    /** Returns an assembler that delivers the stream from its first event. */
    public static StreamAssembler fromStart() {
        return new StreamAssembler(1);
    }

    /**
     * Returns an assembler for a caller that already has all events up to {@code lastSequence}.
     *
     * @throws IllegalArgumentException if {@code lastSequence} is negative
     */
    public static StreamAssembler after(long lastSequence) {
        checkArgument(lastSequence >= 0, "negative sequence: %s", lastSequence);
        return new StreamAssembler(lastSequence + 1);
    }

    /** Handles the event with the given number. */
    public Step onEvent(long sequence) {
        if (sequence > 0 && sequence < mNext) {
            return Step.DUPLICATE;
        }
        if (mComplete) {
            return Step.DUPLICATE;
        }
        if (mTruncated || sequence != mNext) {
            mTruncated = true;
            return Step.TRUNCATED;
        }
        mNext++;
        return Step.DELIVER;
    }

    /** Handles the end event, which states the number of events of the whole stream. */
    public Step onEnd(long events) {
        if (mComplete) {
            return Step.DUPLICATE;
        }
        if (mTruncated || events != mNext - 1) {
            mTruncated = true;
            return Step.TRUNCATED;
        }
        mComplete = true;
        return Step.COMPLETE;
    }

    /** Handles the end of the connection. */
    public Step onClosed() {
        mTruncated = !mComplete;
        return mComplete ? Step.COMPLETE : Step.TRUNCATED;
    }

    /** Starts the next attempt, which requested the stream from {@link #nextSequence}. */
    public void onResume() {
        mTruncated = false;
    }

    /** Returns the number of the first undelivered event. */
    public long nextSequence() {
        return mNext;
    }
}
