package org.jacinthwharf.version;

import java.util.Optional;
import java.util.function.ToLongFunction;
import org.jacinthwharf.wire.generated.VersionMove;

/**
 * Compares the new version of a move with the old one, on one route or over all routes.
 *
 * <p>Invariant: every request of the new version is sampled once. Not thread-safe.
 */
final class RouteVerdict {
    /** Excess of errors that makes a version bad. */
    private static final double ERROR_EXCESS = 0.05;

    /** Excess of slow requests that makes a version bad: 25% instead of 5%. */
    private static final double SLOW_EXCESS = 0.20;

    /**
     * Slower means above the next bucket, by 19% at least. Where requests take nearly the same
     * time, a millisecond of a new connection lifts most of them above the percentile itself.
     */
    private static final int SLOW_MARGIN_BUCKETS = 1;

    /** Fewer requests of the old version in a minute are too few to compare with. */
    private static final long ENOUGH_OLD_REQUESTS = 200;

    private static final long ENOUGH_RECENT_REQUESTS = 30;

    /** The current second shows a fault that hits both versions; a few seconds smooth it. */
    private static final int[] RECENT_SECONDS = {1, 5};

    /** Assumed upper bound of the old version's error rate before there is any evidence. */
    private static final double UNKNOWN_RATE = 0.10;

    /** A wider bound would delay the verdict by more errors than the page's test needs. */
    private static final double REFERENCE_DEVIATIONS = 0.5;

    /** Below this rate single errors would decide. */
    private static final double SMALLEST_RATE = 0.01;

    private static final double RECENT_DEVIATIONS = 2;

    private final String mModel;
    private final String mFrom;
    private final String mTo;
    private final Optional<String> mRoute;
    private final SequentialTest mErrors = new SequentialTest();
    private final SequentialTest mSlowness = new SequentialTest();
    private Counts mSeen;

    /** Creates a verdict that samples the requests that {@code seen} does not contain. */
    RouteVerdict(String model, VersionMove move, Optional<String> route, Counts seen) {
        mModel = model;
        mFrom = move.getFromVersion();
        mTo = move.getToVersion();
        mRoute = route;
        mSeen = seen;
    }

    /** Samples the requests since the last call; returns their number. */
    long sample(EvidenceAggregator aggregator, long nowNanos) {
        Counts now = aggregator.total(mModel, mTo, mRoute);
        Counts window = aggregator.recent(mModel, mFrom, mRoute, 60, nowNanos);
        Counts old =
                window.mRequests >= ENOUGH_OLD_REQUESTS
                        ? window
                        : aggregator.total(mModel, mFrom, mRoute);
        Counts[] recent = new Counts[RECENT_SECONDS.length];
        for (int i = 0; i < recent.length; i++) {
            recent[i] = aggregator.recent(mModel, mFrom, mRoute, RECENT_SECONDS[i], nowNanos);
        }
        long requests = now.mRequests - mSeen.mRequests;
        sampleErrors(now, old, recent, requests);
        if (old.timed() >= ENOUGH_RECENT_REQUESTS) {
            sampleSlowness(now, old, recent);
        }
        mSeen = now;
        return requests;
    }

    private void sampleErrors(Counts now, Counts old, Counts[] recent, long requests) {
        double rate = goodRate(old, recent, counts -> counts.mErrors, counts -> counts.mRequests);
        if (old.mRequests < ENOUGH_RECENT_REQUESTS) {
            rate = Math.min(rate, UNKNOWN_RATE);
        }
        mErrors.add(
                requests,
                Math.min(requests, now.mErrors - mSeen.mErrors),
                rate,
                Math.min(0.99, rate + ERROR_EXCESS));
    }

    private void sampleSlowness(Counts now, Counts old, Counts[] recent) {
        int bucket = old.bucketOf95thPercentile() + SLOW_MARGIN_BUCKETS;
        double rate =
                Math.max(
                        0.05, goodRate(old, recent, counts -> counts.above(bucket), Counts::timed));
        mSlowness.add(
                now.timed() - mSeen.timed(),
                now.above(bucket) - mSeen.above(bucket),
                rate,
                Math.min(0.99, rate + SLOW_EXCESS));
    }

    /** Returns why the new version is bad, if it is. */
    Optional<String> bad(double falseAlarmRate, long windows) {
        String where = mRoute.map(route -> " on route " + route).orElse("");
        if (mErrors.isBad(falseAlarmRate, windows)) {
            return Optional.of("more errors than " + mFrom + where);
        }
        if (mSlowness.isBad(falseAlarmRate, windows)) {
            return Optional.of("slower than " + mFrom + where);
        }
        return Optional.empty();
    }

    boolean isGood(double falseAlarmRate) {
        return mErrors.isGood(falseAlarmRate) && mSlowness.isGood(falseAlarmRate);
    }

    /**
     * Returns the rate that a good version may have: the upper bound of the old version's rate over
     * the last minute, or over the last seconds when a fault of this moment hits both versions.
     */
    private static double goodRate(
            Counts old,
            Counts[] recent,
            ToLongFunction<Counts> bad,
            ToLongFunction<Counts> requests) {
        double rate = bound(bad.applyAsLong(old), requests.applyAsLong(old), REFERENCE_DEVIATIONS);
        for (Counts counts : recent) {
            long number = requests.applyAsLong(counts);
            long badNow = bad.applyAsLong(counts);
            // Few recent requests give a wide bound; use it only when the old version did get
            // worse.
            if (number >= ENOUGH_RECENT_REQUESTS
                    && bound(badNow, number, -RECENT_DEVIATIONS) > rate) {
                rate = Math.max(rate, bound(badNow, number, RECENT_DEVIATIONS));
            }
        }
        return Math.min(0.95, Math.max(SMALLEST_RATE, rate));
    }

    /** Returns an end of Wilson's score interval of a rate, the lower one for a negative width. */
    private static double bound(long bad, long requests, double deviations) {
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
