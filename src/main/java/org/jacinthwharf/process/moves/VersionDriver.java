package org.jacinthwharf.process.moves;

import com.google.common.math.LongMath;
import java.math.RoundingMode;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.ModelId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VersionId;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.membership.ServerOwners;
import org.jacinthwharf.version.EvidenceAggregator;
import org.jacinthwharf.version.LocalVerdict;
import org.jacinthwharf.version.VersionSplit;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.MovePhase;
import org.jacinthwharf.wire.generated.RouteEvidence;
import org.jacinthwharf.wire.generated.VersionEvidence;

/**
 * Selects the version of each request and reports the results of its attempts as evidence.
 *
 * <p>Used on the event loop only. Invariant: counts are cumulative, so that lost or duplicate
 * reports do no harm. Memory is bounded by {@link #MAX_ROUTES}.
 */
public final class VersionDriver implements EvidenceSink {
    /** Further combinations of version and route are counted as one route per version. */
    static final int MAX_ROUTES = 512;

    // Bucket i holds latencies up to 2^(i/4) ms; 80 buckets reach 17 minutes.
    private static final int BUCKETS = 80;
    private static final String OVERFLOW_ROUTE = "other";
    private static final long MIN_OBSERVED_SECONDS = 2;
    private static final long MINUTE_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final RouterIncarnation mSelf;
    private final EvidenceAggregator mOwnAggregator;
    private final LocalVerdict mLocalVerdict;
    private final Consumer<Envelope> mToControl;
    private final Supplier<Set<VmId>> mPeers;
    private final EventLoop mLoop;
    private final Map<ModelId, VersionSplit> mSplits = new HashMap<>();
    private final Map<RouteKey, RouteCounts> mRoutes = new HashMap<>();
    private long mSequence;

    private record RouteKey(PoolId pool, String route) {}

    /** Cumulative counts of one route at one version. */
    private static final class RouteCounts {
        final long[] mBuckets = new long[BUCKETS];
        final long[] mUnansweredBuckets = new long[BUCKETS];
        final Deque<long[]> mRequestsPerSecond = new ArrayDeque<>();
        long mRequests;
        long mErrors;
        int mRunning;
        long mRecentRequests;
        long mFirstSecond = Long.MAX_VALUE;

        void recordArrival(long nowNanos) {
            long second = TimeUnit.NANOSECONDS.toSeconds(nowNanos);
            mFirstSecond = Math.min(mFirstSecond, second);
            long[] last = mRequestsPerSecond.peekLast();
            if (last == null || last[0] != second) {
                mRequestsPerSecond.add(new long[] {second, 0});
            }
            mRequestsPerSecond.peekLast()[1]++;
            mRecentRequests++;
        }

        /**
         * Returns the requests per minute, extrapolated during the first minute of a route, so that
         * a busy new route is not taken for one with a low rate.
         */
        long requestsPerMinute(long nowNanos) {
            long first = TimeUnit.NANOSECONDS.toSeconds(nowNanos - MINUTE_NANOS);
            while (!mRequestsPerSecond.isEmpty() && mRequestsPerSecond.peekFirst()[0] < first) {
                mRecentRequests -= mRequestsPerSecond.removeFirst()[1];
            }
            long age = TimeUnit.NANOSECONDS.toSeconds(nowNanos) - mFirstSecond;
            long observed = Math.max(MIN_OBSERVED_SECONDS, Math.min(60, age));
            return mRecentRequests * 60 / observed;
        }
    }

    /**
     * Creates a driver with empty counts.
     *
     * @param toControl sends a message to all control members
     * @param peers supplies the other routers that are known to run
     */
    public VersionDriver(
            RouterIncarnation self,
            EvidenceAggregator ownAggregator,
            LocalVerdict verdict,
            Consumer<Envelope> toControl,
            Supplier<Set<VmId>> peers,
            EventLoop loop) {
        mSelf = self;
        mOwnAggregator = ownAggregator;
        mLocalVerdict = verdict;
        mToControl = toControl;
        mPeers = peers;
        mLoop = loop;
    }

    /** Selects the version for the first attempt of a request. */
    public PoolId choose(Model model, RequestId request, String route) {
        ModelId id = ModelId.of(model.getId());
        if (!model.hasMove()) {
            return PoolId.of(id, VersionId.of(model.getCurrentVersion()));
        }
        PoolId target = PoolId.of(id, VersionId.of(model.getMove().getToVersion()));
        PoolId current = PoolId.of(id, VersionId.of(model.getMove().getFromVersion()));
        long now = mLoop.nowNanos();
        long recent =
                requestsPerMinute(target, route, now) + requestsPerMinute(current, route, now);
        VersionSplit.RouteState state =
                new VersionSplit.RouteState(
                        mLocalVerdict.isStopped(model.getMove().getId()),
                        recent,
                        runningRequests(target),
                        isLowRateSender(model.getMove().getId()));
        String version =
                mSplits.computeIfAbsent(id, m -> new VersionSplit())
                        .choose(request, route, model.getMove(), state);
        return PoolId.of(id, VersionId.of(version));
    }

    /**
     * Selects the version for a retry: the old one until the move is done, since the new version
     * may have failed the request already, and a caller must not be hit twice by its errors.
     */
    public static PoolId chooseForRetry(Model model) {
        boolean onTrial = model.hasMove() && model.getMove().getPhase() != MovePhase.DONE;
        String version = onTrial ? model.getMove().getFromVersion() : model.getCurrentVersion();
        return PoolId.of(ModelId.of(model.getId()), VersionId.of(version));
    }

    /** One of the reachable routers sends the single canary requests of low-rate routes. */
    private boolean isLowRateSender(String moveId) {
        TreeSet<VmId> routers = new TreeSet<>(mPeers.get());
        routers.add(mSelf.vm());
        return ServerOwners.ownerOf(BackendServerId.of(moveId), routers)
                .orElseThrow()
                .equals(mSelf.vm());
    }

    private long requestsPerMinute(PoolId pool, String route, long now) {
        RouteCounts counts = mRoutes.get(new RouteKey(pool, route));
        return counts == null ? 0 : counts.requestsPerMinute(now);
    }

    private long runningRequests(PoolId pool) {
        return mRoutes.entrySet().stream()
                .filter(e -> e.getKey().pool().equals(pool))
                .mapToLong(e -> e.getValue().mRunning)
                .sum();
    }

    private RouteCounts counts(PoolId pool, String route) {
        RouteKey key = new RouteKey(pool, route);
        if (!mRoutes.containsKey(key) && mRoutes.size() >= MAX_ROUTES) {
            key = new RouteKey(pool, OVERFLOW_ROUTE);
        }
        return mRoutes.computeIfAbsent(key, k -> new RouteCounts());
    }

    @Override
    public void onStart(PoolId pool, String route) {
        RouteCounts counts = counts(pool, route);
        counts.mRunning++;
        counts.recordArrival(mLoop.nowNanos());
    }

    @Override
    public void onEnd(PoolId pool, String route, AttemptResult result, long millis) {
        RouteCounts counts = counts(pool, route);
        counts.mRunning = Math.max(0, counts.mRunning - 1);
        if (result == AttemptResult.INCONCLUSIVE) {
            return;
        }
        if (result == AttemptResult.UNANSWERED) {
            counts.mUnansweredBuckets[bucketOf(millis)]++;
            return;
        }
        counts.mRequests++;
        if (result == AttemptResult.FAILED) {
            counts.mErrors++;
        }
        counts.mBuckets[bucketOf(millis)]++;
    }

    /** Returns the smallest i with {@code millis <= 2^(i/4)}, capped at the last bucket. */
    static int bucketOf(long millis) {
        if (millis <= 1) {
            return 0;
        }
        int whole = LongMath.log2(millis, RoundingMode.FLOOR);
        int bucket = whole * 4;
        while (bucket < BUCKETS - 1 && millis > Math.pow(2, bucket / 4.0)) {
            bucket++;
        }
        return Math.min(bucket, BUCKETS - 1);
    }

    /** Evaluates moves by this router's evidence and reports it; called every second. */
    public void tick(Configuration configuration) {
        VersionEvidence.Builder report =
                VersionEvidence.newBuilder()
                        .setRouter(mSelf.vm().value())
                        .setRouterIncarnation(mSelf.incarnation())
                        .setSequence(++mSequence);
        for (Model model : configuration.getModelsList()) {
            if (model.hasMove()) {
                addRoutes(model, report);
            }
        }
        long now = mLoop.nowNanos();
        mOwnAggregator.record(report.build(), now);
        report.addAllStops(mLocalVerdict.onTick(configuration, now));
        if (report.getRoutesCount() > 0) {
            mToControl.accept(Envelope.newBuilder().setVersionEvidence(report.build()).build());
        }
    }

    private void addRoutes(Model model, VersionEvidence.Builder report) {
        mRoutes.forEach(
                (key, counts) -> {
                    if (key.pool().model().value().equals(model.getId())) {
                        report.addRoutes(toMessage(key, counts));
                    }
                });
    }

    private static RouteEvidence toMessage(RouteKey key, RouteCounts counts) {
        RouteEvidence.Builder route =
                RouteEvidence.newBuilder()
                        .setModel(key.pool().model().value())
                        .setVersion(key.pool().version().value())
                        .setRoute(key.route())
                        .setRequests(counts.mRequests)
                        .setErrors(counts.mErrors)
                        .setRunning(counts.mRunning);
        for (long bucket : counts.mBuckets) {
            route.addLatencyBuckets(bucket);
        }
        if (Arrays.stream(counts.mUnansweredBuckets).anyMatch(n -> n > 0)) {
            for (long bucket : counts.mUnansweredBuckets) {
                route.addUnansweredBuckets(bucket);
            }
        }
        return route.build();
    }
}
