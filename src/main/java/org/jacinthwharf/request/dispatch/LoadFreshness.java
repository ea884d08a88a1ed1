package org.jacinthwharf.request.dispatch;

/**
 * Tells how late the next update of the other gateways' load is. Each placement of this gateway is
 * reported, and the relay answers each report, so an update follows within the load delay.
 *
 * <p>A gateway that places nothing expects no update. Not thread-safe.
 */
final class LoadFreshness {
    /** Updates of a busy relay come up to one load delay late. */
    private static final int STALE_LOAD_DELAYS = 2;

    private long mPlacements;
    private boolean mUpdated;
    private boolean mAwaitsUpdate;
    private long mAwaitedSinceNanos;

    void onPlaced(long nowNanos) {
        mPlacements++;
        if (!mAwaitsUpdate) {
            mAwaitsUpdate = true;
            mAwaitedSinceNanos = nowNanos;
        }
    }

    void onUpdate() {
        mUpdated = true;
        mAwaitsUpdate = false;
    }

    /** Returns the number of placements so far. */
    long placements() {
        return mPlacements;
    }

    /**
     * Returns whether the next update is late, so that a rejection tells more than the load; never
     * before the first update.
     */
    boolean isLate(long loadDelayNanos, long nowNanos) {
        return mUpdated && mAwaitsUpdate && nowNanos - mAwaitedSinceNanos > loadDelayNanos;
    }

    /** Returns whether the load is too old to tell the servers with the least load. */
    boolean isStale(long loadDelayNanos, long nowNanos) {
        return isLate(STALE_LOAD_DELAYS * loadDelayNanos, nowNanos);
    }
}
