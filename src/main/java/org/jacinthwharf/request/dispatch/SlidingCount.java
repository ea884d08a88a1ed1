package org.jacinthwharf.request.dispatch;

import java.util.ArrayDeque;

/**
 * Counts events in a sliding window.
 *
 * <p>Not thread-safe. Memory is linear in the events of one window.
 */
final class SlidingCount {
    private final long mWindowNanos;
    private final ArrayDeque<Long> mTimes = new ArrayDeque<>();

    SlidingCount(long windowNanos) {
        mWindowNanos = windowNanos;
    }

    void add(long nowNanos) {
        mTimes.addLast(nowNanos);
        forget(nowNanos);
    }

    /** Returns the number of events in memory. */
    int held() {
        return mTimes.size();
    }

    /** Returns the number of events in the window that ends now. */
    int count(long nowNanos) {
        forget(nowNanos);
        return mTimes.size();
    }

    private void forget(long nowNanos) {
        while (!mTimes.isEmpty() && nowNanos - mTimes.getFirst() > mWindowNanos) {
            mTimes.removeFirst();
        }
    }
}
