package org.jacinthwharf.request.dispatch;

import java.util.ArrayDeque;

/**
 * Counts events in a sliding window.
 *
 * <p>Not thread-safe. Memory is linear in the events of one window.
 */
final class SlidingWindowCounter {
    private final long mWindowNanos;
    private final ArrayDeque<Long> mTimes = new ArrayDeque<>();

    SlidingWindowCounter(long windowNanos) {
        mWindowNanos = windowNanos;
    }

    void add(long nowNanos) {
        mTimes.addLast(nowNanos);
        removeExpired(nowNanos);
    }

    /** Returns the number of events held in memory, which may include expired ones. */
    int size() {
        return mTimes.size();
    }

    /** Returns the number of events in the window that ends now. */
    int count(long nowNanos) {
        removeExpired(nowNanos);
        return mTimes.size();
    }

    /** Returns the number of events in the window that ends now and is at most this long. */
    int countRecent(long nanos, long nowNanos) {
        removeExpired(nowNanos);
        int count = 0;
        for (var times = mTimes.descendingIterator(); times.hasNext(); count++) {
            if (nowNanos - times.next() > nanos) {
                break;
            }
        }
        return count;
    }

    private void removeExpired(long nowNanos) {
        while (!mTimes.isEmpty() && nowNanos - mTimes.getFirst() > mWindowNanos) {
            mTimes.removeFirst();
        }
    }
}
