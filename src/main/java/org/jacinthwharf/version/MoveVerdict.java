package org.jacinthwharf.version;

import java.util.Optional;
import java.util.TreeMap;
import org.jacinthwharf.wire.generated.VersionMove;

/**
 * Judges the new version of one move, over all routes and on each route.
 *
 * <p>Invariant: each test has the given false alarm rate over the whole move, and all tests
 * together at most eight times that rate. Not thread-safe.
 */
final class MoveVerdict {
    /** With more tests than this, each gets a smaller false alarm rate. */
    private static final double MOST_FALSE_ALARMS = 8;

    private static final long SAMPLE_NANOS = 1_000_000_000L;

    private final String mModel;
    private final VersionMove mMove;
    private final double mFalseAlarmRate;
    private final RouteVerdict mOverall;
    private final TreeMap<String, RouteVerdict> mRoutes = new TreeMap<>();
    private long mNextSampleNanos;
    private long mRequests;

    /**
     * Creates a verdict that judges requests from now on.
     *
     * @param falseAlarmRate probability that one test calls a good version bad during the move
     */
    MoveVerdict(
            String model,
            VersionMove move,
            double falseAlarmRate,
            EvidenceAggregator aggregator,
            long now) {
        mModel = model;
        mMove = move;
        mFalseAlarmRate = falseAlarmRate;
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

    private RouteVerdict verdict(Optional<String> route, Counts seen) {
        return new RouteVerdict(mModel, mMove, route, seen);
    }

    /** Takes a sample when one is due; returns why the version is bad, if it is. */
    Optional<String> judge(EvidenceAggregator aggregator, long nowNanos) {
        if (nowNanos < mNextSampleNanos) {
            return Optional.empty();
        }
        mNextSampleNanos = nowNanos + SAMPLE_NANOS;
        mRequests += mOverall.sample(aggregator, nowNanos);
        for (String route : aggregator.routes(mModel)) {
            mRoutes.computeIfAbsent(
                            route, // A route that was unknown at the start has no earlier requests.
                            r -> verdict(Optional.of(r), new Counts()))
                    .sample(aggregator, nowNanos);
        }
        double each = mFalseAlarmRate * Math.min(1, MOST_FALSE_ALARMS / (2 * (1 + mRoutes.size())));
        long windows = (mMove.getDeadlineMillis() - mMove.getStartedMillis()) / 1000;
        for (RouteVerdict route : mRoutes.values()) {
            Optional<String> bad = route.bad(each, windows);
            if (bad.isPresent()) {
                return bad;
            }
        }
        return mOverall.bad(each, windows);
    }

    boolean isGood() {
        return mOverall.isGood(mFalseAlarmRate);
    }

    /** Returns the number of judged requests of the new version. */
    long requests() {
        return mRequests;
    }
}
