package org.jacinthwharf.request.admission;

import java.util.TreeSet;

/**
 * Tracks which sequence numbers have been received.
 *
 * <p>Invariant: every number up to {@link #contiguousUpTo} has been received. Not thread-safe.
 * Memory is linear in the numbers received above the first gap.
 */
final class SequenceTracker {
    private final TreeSet<Long> mAboveGap = new TreeSet<>();
    private long mContiguousUpTo;

    /** Adds a number; returns false for a duplicate. */
    boolean add(long number) {
        if (number <= mContiguousUpTo || !mAboveGap.add(number)) {
            return false;
        }
        advance();
        return true;
    }

    /** Adds all numbers up to the given one. */
    void addAllUpTo(long number) {
        if (number > mContiguousUpTo) {
            mContiguousUpTo = number;
            mAboveGap.headSet(number, true).clear();
            advance();
        }
    }

    private void advance() {
        while (!mAboveGap.isEmpty() && mAboveGap.first() == mContiguousUpTo + 1) {
            mAboveGap.pollFirst();
            mContiguousUpTo++;
        }
    }

    void clear() {
        mAboveGap.clear();
        mContiguousUpTo = 0;
    }

    /** Returns the greatest number below the first gap. */
    long contiguousUpTo() {
        return mContiguousUpTo;
    }
}
