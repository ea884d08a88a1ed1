package org.jacinthwharf.request.admission;

import java.util.TreeSet;

/**
 * Remembers which numbers of a growing sequence have arrived.
 *
 * <p>Invariant: every number up to {@link #complete} is in the set. Not thread-safe. Memory is
 * linear in the numbers above the first missing one.
 */
final class NumberSet {
    private final TreeSet<Long> mAbove = new TreeSet<>();
    private long mComplete;

    /** Adds a number; returns false if it was in the set. */
    boolean add(long number) {
        if (number <= mComplete || !mAbove.add(number)) {
            return false;
        }
        advance();
        return true;
    }

    /** Adds all numbers up to the given one. */
    void addAllUpTo(long number) {
        if (number > mComplete) {
            mComplete = number;
            mAbove.headSet(number, true).clear();
            advance();
        }
    }

    private void advance() {
        while (!mAbove.isEmpty() && mAbove.first() == mComplete + 1) {
            mAbove.pollFirst();
            mComplete++;
        }
    }

    void clear() {
        mAbove.clear();
        mComplete = 0;
    }

    /** Returns the number up to which none is missing. */
    long complete() {
        return mComplete;
    }
}
