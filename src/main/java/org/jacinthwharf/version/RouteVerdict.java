package org.jacinthwharf.version;

import java.util.Optional;
import java.util.function.ToLongFunction;
import org.jacinthwharf.wire.generated.VersionMove;

/**
 * Compares the new version of a move with the old one, on one route or over all routes.
 *
 * <p>Invariant: every request of the new version is sampled exactly once. Not thread-safe.
 */
final class RouteVerdict {
    /** Increase of the error rate from which a version is bad. */
    private static final double ERROR_EXCESS = 0.05;

    /** Increase of the rate of slow requests from which a version is bad: 25% instead of 5%. */
    private static final double SLOW_EXCESS = 0.20;

    /**
     * A request is slow if its latency is more than this number of buckets, at least 19%, above the
     * old version's 95th percentile. With nearly uniform latencies, one extra millisecond for a new
     * connection would put most requests above the percentile itself.
     */
    private static final int SLOW_BUCKET_MARGIN = 1;

    /** With fewer requests of the old version in the last minute, its total is the baseline. */
    private static final long MIN_OLD_REQUESTS = 200;

    private static final long MIN_RECENT_REQUESTS = 30;

    /** Windows that reveal a fault that affects both versions; the longer one is smoother. */
    private static final int[] RECENT_SECONDS = {1, 5};

    /** Cap of the old version's assumed error rate until there is enough evidence. */
    private static final double MAX_RATE_WITHOUT_BASELINE = 0.10;

    /** A wider bound would take more errors to reach a verdict than the design's test needs. */
    private static final double BASELINE_DEVIATIONS = 0.5;

    /** Below this rate, single errors would decide the verdict. */
    private static final double MIN_RATE = 0.01;

    private static final double RECENT_DEVIATIONS = 2;

    private final String mModel;
    private final String mFrom;
    private final String mTo;
    private final Optional<String> mRoute;
    private final SequentialTest mErrorTest = new SequentialTest();
    private final SequentialTest mLatencyTest = new SequentialTest();
    private RequestCounts mSampled;

    /** Creates a verdict that samples the requests that {@code alreadySampled} does not include. */
    RouteVerdict(
            String model, VersionMove move, Optional<String> route, RequestCounts alreadySampled) {
        mModel = model;
        mFrom = move.getFromVersion();
        mTo = move.getToVersion();
        mRoute = route;
        mSampled = alreadySampled;
    }

    /** Samples the requests since the last call; returns their number. */
    long sample(EvidenceAggregator aggregator, long nowNanos) {
        RequestCounts now = aggregator.total(mModel, mTo, mRoute);
        RequestCounts window = aggregator.recent(mModel, mFrom, mRoute, 60, nowNanos);
        RequestCounts old =
                window.mRequests >= MIN_OLD_REQUESTS
                        ? window
                        : aggregator.total(mModel, mFrom, mRoute);
        RequestCounts[] recent = new RequestCounts[RECENT_SECONDS.length];
        for (int i = 0; i < recent.length; i++) {
            recent[i] = aggregator.recent(mModel, mFrom, mRoute, RECENT_SECONDS[i], nowNanos);
        }
        long requests = now.mRequests - mSampled.mRequests;
        sampleErrors(now, old, recent, requests);
        if (old.latencyCount() >= MIN_RECENT_REQUESTS) {
            sampleSlowness(now, old, recent);
        }
        mSampled = now;
        return requests;
    }

    private void sampleErrors(
            RequestCounts now, RequestCounts old, RequestCounts[] recent, long requests) {
        double rate =
                acceptableRate(old, recent, counts -> counts.mErrors, counts -> counts.mRequests);
        if (old.mRequests < MIN_RECENT_REQUESTS) {
            rate = Math.min(rate, MAX_RATE_WITHOUT_BASELINE);
        }
        mErrorTest.add(
                requests,
                Math.min(requests, now.mErrors - mSampled.mErrors),
                rate,
                Math.min(0.99, rate + ERROR_EXCESS));
    }

    private void sampleSlowness(RequestCounts now, RequestCounts old, RequestCounts[] recent) {
        int bucket = old.p95Bucket() + SLOW_BUCKET_MARGIN;
        double rate =
                Math.max(
                        0.05,
                        acceptableRate(
                                old,
                                recent,
                                counts -> counts.slowCount(bucket),
                                counts -> counts.comparableCount(bucket)));
        mLatencyTest.add(
                now.comparableCount(bucket) - mSampled.comparableCount(bucket),
                now.slowCount(bucket) - mSampled.slowCount(bucket),
                rate,
                Math.min(0.99, rate + SLOW_EXCESS));
    }

    /** Returns the reason to reject the new version, if there is one. */
    Optional<String> rejection(double falsePositiveRate, long windows) {
        String where = mRoute.map(route -> " on route " + route).orElse("");
        if (mErrorTest.isBad(falsePositiveRate, windows)) {
            return Optional.of("more errors than " + mFrom + where);
        }
        if (mLatencyTest.isBad(falsePositiveRate, windows)) {
            return Optional.of("slower than " + mFrom + where);
        }
        return Optional.empty();
    }

    boolean isGood(double falsePositiveRate) {
        return mErrorTest.isGood(falsePositiveRate) && mLatencyTest.isGood(falsePositiveRate);
    }

    /**
     * Returns the highest rate of a good version: the upper bound of the old version's rate over
     * the last minute, or over the last seconds if a current fault affects both versions.
     */
    private static double acceptableRate(
            RequestCounts old,
            RequestCounts[] recent,
            ToLongFunction<RequestCounts> bad,
            ToLongFunction<RequestCounts> requests) {
        double rate =
                wilsonBound(bad.applyAsLong(old), requests.applyAsLong(old), BASELINE_DEVIATIONS);
        for (RequestCounts counts : recent) {
            long number = requests.applyAsLong(counts);
            long badNow = bad.applyAsLong(counts);
            // Few recent requests give a wide interval; use it only if the old version is
            // significantly worse than before.
            if (number >= MIN_RECENT_REQUESTS
                    && wilsonBound(badNow, number, -RECENT_DEVIATIONS) > rate) {
                rate = Math.max(rate, wilsonBound(badNow, number, RECENT_DEVIATIONS));
            }
        }
        return Math.min(0.95, Math.max(MIN_RATE, rate));
    }

    /** Returns a bound of the Wilson score interval, the lower one if {@code deviations} < 0. */
    private static double wilsonBound(long bad, long requests, double deviations) {
        if (requests == 0) {
            return 1;
        }
        double n = requests;
        double rate = bad / n;
        double z2 = deviations * deviations;
        double spread = deviations * Math.sqrt(rate * (1 - rate) / n + z2 / (4 * n * n));
        return (rate + z2 / (2 * n) + spread) / (1 + z2 / n);
    }
}
