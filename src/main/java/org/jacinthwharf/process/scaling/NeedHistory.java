package org.jacinthwharf.process.scaling;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The needs of the last start times.
 *
 * <p>Not thread-safe; has no clock of its own. Invariant: the needs in the queue decrease, so that
 * the first is the largest of the time that is held.
 */
final class NeedHistory {
    private final Deque<Need> mDecreasing = new ArrayDeque<>();
    private final long mSinceNanos;
    private boolean mComplete;

    private record Need(long nanos, double servers) {}

    NeedHistory(long nowNanos) {
        mSinceNanos = nowNanos;
    }

    void add(double servers, long heldNanos, long nowNanos) {
        while (!mDecreasing.isEmpty() && mDecreasing.getLast().servers() <= servers) {
            mDecreasing.removeLast();
        }
        mDecreasing.addLast(new Need(nowNanos, servers));
        while (nowNanos - mDecreasing.getFirst().nanos() > heldNanos) {
            mDecreasing.removeFirst();
        }
        mComplete = nowNanos - mSinceNanos >= heldNanos;
    }

    double newest() {
        return mDecreasing.getLast().servers();
    }

    double largest() {
        return mDecreasing.getFirst().servers();
    }

    /** Returns whether the needs of the whole time that is held are known. */
    boolean isComplete() {
        return mComplete;
    }
}
