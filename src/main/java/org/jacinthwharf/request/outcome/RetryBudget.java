package org.jacinthwharf.request.outcome;

import java.util.concurrent.TimeUnit;

/**
 * Limits the retries of one router to a tenth of its recent requests plus three per second.
 *
 * <p>Invariant: in any interval of T seconds at most 0.1 times the requests of the interval and the
 * 10 s before it, plus 3 * (T + 1), retries are granted. This prevents retry storms when backend
 * servers fail. Memory is constant.
 *
 * <p>Not thread-safe; used on the event loop.
 */
public final class RetryBudget {
    private static final int REQUESTS_PER_RETRY = 10;
    private static final int RETRIES_PER_SECOND = 3;
    private static final int RECENT_SECONDS = 10;
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long NANOS_PER_RETRY = NANOS_PER_SECOND / RETRIES_PER_SECOND;

    /** Requests of each recent second that are not yet spent on a retry. */
    private final long[] mUnspentRequests = new long[RECENT_SECONDS];

    private long mCurrentSecond;

    /** The rate allowance accrues from this time until now, at most over 1 s. */
    private long mSpentUntilNanos;

    /** Creates a budget with three retries available at {@code nowNanos}. */
    public RetryBudget(long nowNanos) {
        mCurrentSecond = Math.floorDiv(nowNanos, NANOS_PER_SECOND);
        mSpentUntilNanos = nowNanos - NANOS_PER_SECOND;
    }

    /** Counts a first attempt; retries are not counted here. */
    public void onRequest(long nowNanos) {
        advance(nowNanos);
        mUnspentRequests[indexOf(mCurrentSecond)]++;
    }

    /** Takes one retry from the budget, or returns false if it is empty. */
    public boolean tryRetry(long nowNanos) {
        advance(nowNanos);
        return takeFromRecentRequests() || takeFromRate(nowNanos);
    }

    private boolean takeFromRecentRequests() {
        long available = 0;
        for (long u : mUnspentRequests) {
            available += u;
        }
        if (available < REQUESTS_PER_RETRY) {
            return false;
        }
        long remaining = REQUESTS_PER_RETRY;
        for (long s = mCurrentSecond - RECENT_SECONDS + 1; remaining > 0; s++) {
            long taken = Math.min(remaining, mUnspentRequests[indexOf(s)]);
            mUnspentRequests[indexOf(s)] -= taken;
            remaining -= taken;
        }
        return true;
    }

    private boolean takeFromRate(long nowNanos) {
        mSpentUntilNanos = Math.max(mSpentUntilNanos, nowNanos - NANOS_PER_SECOND);
        if (nowNanos - mSpentUntilNanos < NANOS_PER_RETRY) {
            return false;
        }
        mSpentUntilNanos += NANOS_PER_RETRY;
        return true;
    }

    private void advance(long nowNanos) {
        long second = Math.floorDiv(nowNanos, NANOS_PER_SECOND);
        long elapsed = Math.min(second - mCurrentSecond, RECENT_SECONDS);
        for (long i = 0; i < elapsed; i++) {
            mUnspentRequests[indexOf(second - i)] = 0;
        }
        mCurrentSecond = Math.max(mCurrentSecond, second);
    }

    private static int indexOf(long second) {
        return (int) Math.floorMod(second, (long) RECENT_SECONDS);
    }
}
