package org.jacinthwharf.version;

import java.util.List;
import org.jacinthwharf.wire.generated.RouteEvidence;

/**
 * Requests, errors and latencies of one version on one route.
 *
 * <p>Mutable; not thread-safe.
 */
final class Counts {
    /** Bucket i holds latencies up to 2^(i/4) ms; the last one also holds everything above. */
    static final int BUCKETS = 72;

    long mRequests;
    long mErrors;
    final long[] mBuckets = new long[BUCKETS];

    /** Adds the growth from {@code before} to {@code after}, both totals of one router. */
    void addGrowth(RouteEvidence before, RouteEvidence after) {
        mRequests += Math.max(0, after.getRequests() - before.getRequests());
        mErrors += Math.max(0, after.getErrors() - before.getErrors());
        List<Long> old = before.getLatencyBucketsList();
        for (int i = 0; i < after.getLatencyBucketsCount(); i++) {
            long growth = after.getLatencyBuckets(i) - (i < old.size() ? old.get(i) : 0);
            mBuckets[Math.min(i, BUCKETS - 1)] += Math.max(0, growth);
        }
    }

    void add(Counts other) {
        mRequests += other.mRequests;
        mErrors += other.mErrors;
        for (int i = 0; i < BUCKETS; i++) {
            mBuckets[i] += other.mBuckets[i];
        }
    }

    /** Returns the first bucket with at most 5% of the latencies above it. */
    int bucketOf95thPercentile() {
        long above = timed();
        long limit = above / 20;
        for (int i = 0; i < BUCKETS; i++) {
            above -= mBuckets[i];
            if (above <= limit) {
                return i;
            }
        }
        return BUCKETS - 1;
    }

    long above(int bucket) {
        long sum = 0;
        for (int i = bucket + 1; i < BUCKETS; i++) {
            sum += mBuckets[i];
        }
        return sum;
    }

    /** Returns the number of requests with a latency. */
    long timed() {
        return above(-1);
    }
}
