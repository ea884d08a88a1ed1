package org.jacinthwharf.version;

import java.util.Optional;
import java.util.TreeMap;
import org.jacinthwharf.wire.generated.VersionMove;

/**
 * Evaluates the new version of one move, over all routes and on each route.
 *
 * <p>Invariant: each test has at most the given false positive rate over the whole move, and all
 * tests together at most eight times that rate. Not thread-safe.
 */
final class MoveVerdict {
    /** With more tests than this, the false positive rate of each test is reduced. */
    private static final double MAX_FALSE_POSITIVE_FACTOR = 8;

    private static final long SAMPLE_INTERVAL_NANOS = 1_000_000_000L;

    private final String mModel;
    private final VersionMove mMove;
    private final double mFalsePositiveRate;
    private final RouteVerdict mOverall;
    private final TreeMap<String, RouteVerdict> mRoutes = new TreeMap<>();
    private long mNextSampleNanos;
    private long mRequests;

    /**
     * Creates a verdict that evaluates requests from now on.
     *
     * @param falsePositiveRate probability that one test rejects a good version during the move
     */
    MoveVerdict(
            String model,
            VersionMove move,
            double falsePositiveRate,
            EvidenceAggregator aggregator,
            long now) {
        mModel = model;
        mMove = move;
        mFalsePositiveRate = falsePositiveRate;
        mOverall =
                verdict(
                        Optional.empty(),
                        aggregator.total(model, move.getToVersion(), Optional.empty()));
        aggregator
                .routes(model)
                .forEach(
                        route ->
                                mRoutes.put(
                                        route,
                                        verdict(
                                                Optional.of(route),
                                                aggregator.total(
                                                        model,
                                                        move.getToVersion(),
                                                        Optional.of(route)))));
        mNextSampleNanos = now;
    }

    private RouteVerdict verdict(Optional<String> route, RequestCounts seen) {
        return new RouteVerdict(mModel, mMove, route, seen);
    }

    /** Takes a sample if one is due; returns the reason to reject the version, if there is one. */
    Optional<String> evaluate(EvidenceAggregator aggregator, long nowNanos) {
        if (nowNanos < mNextSampleNanos) {
            return Optional.empty();
        }
        mNextSampleNanos = nowNanos + SAMPLE_INTERVAL_NANOS;
        mRequests += mOverall.sample(aggregator, nowNanos);
        for (String route : aggregator.routes(mModel)) {
            mRoutes.computeIfAbsent(
                            route, // A route that was unknown at the start has no earlier requests.
                            r -> verdict(Optional.of(r), new RequestCounts()))
                    .sample(aggregator, nowNanos);
        }
        double ratePerTest =
                mFalsePositiveRate
                        * Math.min(1, MAX_FALSE_POSITIVE_FACTOR / (2 * (1 + mRoutes.size())));
        long windows = (mMove.getDeadlineMillis() - mMove.getStartedMillis()) / 1000;
        for (RouteVerdict route : mRoutes.values()) {
            Optional<String> rejection = route.rejection(ratePerTest, windows);
            if (rejection.isPresent()) {
                return rejection;
            }
        }
        return mOverall.rejection(ratePerTest, windows);
    }

    boolean isGood() {
        return mOverall.isGood(mFalsePositiveRate);
    }

    /** Returns the number of evaluated requests of the new version. */
    long requests() {
        return mRequests;
    }
}
