package org.jacinthwharf.version;

import java.util.List;
import org.jacinthwharf.wire.generated.RouteEvidence;

/**
 * Request and error counts and a latency histogram.
 *
 * <p>An attempt that ended without an answer after t has a latency of at least t. It counts as slow
 * where t is beyond the limit in question, and is left out where it is below: it may have been
 * about to be answered.
 *
 * <p>Mutable; not thread-safe.
 */
final class RequestCounts {
    /** Bucket i holds latencies up to 2^(i/4) ms; the last one also holds everything above. */
    static final int BUCKETS = 72;

    long mRequests;
    long mErrors;
    final long[] mBuckets = new long[BUCKETS];
    final long[] mUnansweredBuckets = new long[BUCKETS];

    /** Adds the increments between two cumulative reports of one router. */
    void addDelta(RouteEvidence before, RouteEvidence after) {
        mRequests += Math.max(0, after.getRequests() - before.getRequests());
        mErrors += Math.max(0, after.getErrors() - before.getErrors());
        addDelta(mBuckets, before.getLatencyBucketsList(), after.getLatencyBucketsList());
        addDelta(
                mUnansweredBuckets,
                before.getUnansweredBucketsList(),
                after.getUnansweredBucketsList());
    }

    private static void addDelta(long[] buckets, List<Long> before, List<Long> after) {
        for (int i = 0; i < after.size(); i++) {
            long delta = after.get(i) - (i < before.size() ? before.get(i) : 0);
            buckets[Math.min(i, BUCKETS - 1)] += Math.max(0, delta);
        }
    }

    void add(RequestCounts other) {
        mRequests += other.mRequests;
        mErrors += other.mErrors;
        for (int i = 0; i < BUCKETS; i++) {
            mBuckets[i] += other.mBuckets[i];
            mUnansweredBuckets[i] += other.mUnansweredBuckets[i];
        }
    }

    /**
     * Returns the bucket of the 95th percentile: the first with at most 5% of latencies above it.
     */
    int p95Bucket() {
        long remaining = latencyCount();
        long limit = remaining / 20;
        for (int i = 0; i < BUCKETS; i++) {
            remaining -= mBuckets[i];
            if (remaining <= limit) {
                return i;
            }
        }
        return BUCKETS - 1;
    }

    /** Returns the number of attempts that took longer than the bucket, answered or not. */
    long slowCount(int bucket) {
        return countAbove(mBuckets, bucket) + countAbove(mUnansweredBuckets, bucket);
    }

    /** Returns the number of attempts known to have taken longer than the bucket or not. */
    long comparableCount(int bucket) {
        return latencyCount() + countAbove(mUnansweredBuckets, bucket);
    }

    /** Returns the number of recorded latencies of answers. */
    long latencyCount() {
        return countAbove(mBuckets, -1);
    }

    private static long countAbove(long[] buckets, int bucket) {
        long sum = 0;
        for (int i = bucket + 1; i < BUCKETS; i++) {
            sum += buckets[i];
        }
        return sum;
    }
}
