package org.jacinthwharf.version;

import java.util.List;
import org.jacinthwharf.wire.generated.RouteEvidence;

/**
 * Request and error counts and a latency histogram.
 *
 * <p>Mutable; not thread-safe.
 */
final class RequestCounts {
    /** Bucket i holds latencies up to 2^(i/4) ms; the last one also holds everything above. */
    static final int BUCKETS = 72;

    long mRequests;
    long mErrors;
    final long[] mBuckets = new long[BUCKETS];

    /** Adds the increments between two cumulative reports of one router. */
    void addDelta(RouteEvidence before, RouteEvidence after) {
        mRequests += Math.max(0, after.getRequests() - before.getRequests());
        mErrors += Math.max(0, after.getErrors() - before.getErrors());
        List<Long> old = before.getLatencyBucketsList();
        for (int i = 0; i < after.getLatencyBucketsCount(); i++) {
            long delta = after.getLatencyBuckets(i) - (i < old.size() ? old.get(i) : 0);
            mBuckets[Math.min(i, BUCKETS - 1)] += Math.max(0, delta);
        }
    }

    void add(RequestCounts other) {
        mRequests += other.mRequests;
        mErrors += other.mErrors;
        for (int i = 0; i < BUCKETS; i++) {
            mBuckets[i] += other.mBuckets[i];
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

    long countAbove(int bucket) {
        long sum = 0;
        for (int i = bucket + 1; i < BUCKETS; i++) {
            sum += mBuckets[i];
        }
        return sum;
    }

    /** Returns the number of recorded latencies. */
    long latencyCount() {
        return countAbove(-1);
    }
}
