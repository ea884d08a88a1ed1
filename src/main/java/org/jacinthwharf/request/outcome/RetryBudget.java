package org.jacinthwharf.request.outcome;

import java.util.concurrent.TimeUnit;

/**
 * Limits the retries of one router to a tenth of its recent requests plus three per second.
 *
 * <p>Invariant: in any interval of T seconds at most 0.1 times the requests of the interval and the
 * 10 s before it, plus 3 * (T + 1), retries are granted. So retries cannot multiply the load when
 * backend servers fail. Memory is constant.
 *
 * <p>Not thread-safe; used on the event loop.
 */
public final class RetryBudget {
    private static final int REQUESTS_PER_RETRY = 10;
    private static final int RETRIES_PER_SECOND = 3;
    private static final int RECENT_SECONDS = 10;
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long NANOS_PER_RETRY = NANOS_PER_SECOND / RETRIES_PER_SECOND;

    /** Requests of each recent second that no retry has used yet. */
    private final long[] mUnused = new long[RECENT_SECONDS];

    private long mSecond;

    /** Time already paid for; the steady allowance is what lies between it and now, at most 1 s. */
    private long mPaidUntilNanos;

    /** Creates a budget that holds three retries at {@code nowNanos}. */
    public RetryBudget(long nowNanos) {
        mSecond = Math.floorDiv(nowNanos, NANOS_PER_SECOND);
        mPaidUntilNanos = nowNanos - NANOS_PER_SECOND;
    }

    /** Counts a first attempt; retries are not counted here. */
    public void onRequest(long nowNanos) {
        advance(nowNanos);
        mUnused[slot(mSecond)]++;
    }

    /** Takes one retry from the budget, or returns false if it is empty. */
    public boolean tryRetry(long nowNanos) {
        advance(nowNanos);
        return takeFromRequests() || takeFromTime(nowNanos);
    }

    private boolean takeFromRequests() {
        long available = 0;
        for (long u : mUnused) {
            available += u;
        }
        if (available < REQUESTS_PER_RETRY) {
            return false;
        }
        long owed = REQUESTS_PER_RETRY;
        for (long s = mSecond - RECENT_SECONDS + 1; owed > 0; s++) {
            long taken = Math.min(owed, mUnused[slot(s)]);
            mUnused[slot(s)] -= taken;
            owed -= taken;
        }
        return true;
    }

    private boolean takeFromTime(long nowNanos) {
        mPaidUntilNanos = Math.max(mPaidUntilNanos, nowNanos - NANOS_PER_SECOND);
        if (nowNanos - mPaidUntilNanos < NANOS_PER_RETRY) {
            return false;
        }
        mPaidUntilNanos += NANOS_PER_RETRY;
        return true;
    }

    private void advance(long nowNanos) {
        long second = Math.floorDiv(nowNanos, NANOS_PER_SECOND);
        long steps = Math.min(second - mSecond, RECENT_SECONDS);
        for (long i = 0; i < steps; i++) {
            mUnused[slot(second - i)] = 0;
        }
        mSecond = Math.max(mSecond, second);
    }

    private static int slot(long second) {
        return (int) Math.floorMod(second, (long) RECENT_SECONDS);
    }
}
