package org.jacinthwharf.process.moves;

import com.google.common.math.LongMath;
import java.math.RoundingMode;
import java.util.ArrayDeque;
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
import org.jacinthwharf.process.membership.Owners;
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
 * Chooses versions for requests and reports how their attempts ended.
 *
 * <p>Used on the event loop only. Invariant: counts only grow, so that a lost or repeated report
 * changes nothing. Memory is bounded by {@link #MAX_ROUTES}.
 */
public final class VersionDriver implements EvidenceSink {
    /** Routes beyond this number per router are counted as one. */
    static final int MAX_ROUTES = 512;

    // Bucket i holds latencies up to 2^(i/4) ms; 80 buckets reach 17 minutes.
    private static final int BUCKETS = 80;
    private static final String OTHER_ROUTES = "other";
    private static final long MIN_OBSERVED_SECONDS = 2;
    private static final long MINUTE_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final RouterIncarnation mSelf;
    private final EvidenceAggregator mOwnAggregator;
    private final LocalVerdict mVerdict;
    private final Consumer<Envelope> mToControl;
    private final Supplier<Set<VmId>> mPeers;
    private final EventLoop mLoop;
    private final Map<ModelId, VersionSplit> mSplits = new HashMap<>();
    private final Map<RouteKey, RouteCounts> mRoutes = new HashMap<>();
    private long mSequence;

    private record RouteKey(PoolId pool, String route) {}

    /** Growing counts of one route in one version. */
    private static final class RouteCounts {
        final long[] mBuckets = new long[BUCKETS];
        final Deque<long[]> mRecentSeconds = new ArrayDeque<>();
        long mRequests;
        long mErrors;
        int mRunning;
        long mRecent;
        long mFirstSecond = Long.MAX_VALUE;

        void noteArrival(long nowNanos) {
            long second = TimeUnit.NANOSECONDS.toSeconds(nowNanos);
            mFirstSecond = Math.min(mFirstSecond, second);
            long[] last = mRecentSeconds.peekLast();
            if (last == null || last[0] != second) {
                mRecentSeconds.add(new long[] {second, 0});
            }
            mRecentSeconds.peekLast()[1]++;
            mRecent++;
        }

        /**
         * Returns the requests per minute, extrapolated while the route is younger than a minute: a
         * busy route that just started must not count as one with a low rate.
         */
        long perMinute(long nowNanos) {
            long first = TimeUnit.NANOSECONDS.toSeconds(nowNanos - MINUTE_NANOS);
            while (!mRecentSeconds.isEmpty() && mRecentSeconds.peekFirst()[0] < first) {
                mRecent -= mRecentSeconds.removeFirst()[1];
            }
            long age = TimeUnit.NANOSECONDS.toSeconds(nowNanos) - mFirstSecond;
            long observed = Math.max(MIN_OBSERVED_SECONDS, Math.min(60, age));
            return mRecent * 60 / observed;
        }
    }

    /**
     * Creates a driver without evidence.
     *
     * @param toControl sends to all control members
     * @param peers returns the other routers that are known to run
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
        mVerdict = verdict;
        mToControl = toControl;
        mPeers = peers;
        mLoop = loop;
    }

    /** Chooses the version for a request of the model. */
    public PoolId choose(Model model, RequestId request, String route) {
        ModelId id = ModelId.of(model.getId());
        if (!model.hasMove()) {
            return PoolId.of(id, VersionId.of(model.getCurrentVersion()));
        }
        PoolId target = PoolId.of(id, VersionId.of(model.getMove().getToVersion()));
        PoolId current = PoolId.of(id, VersionId.of(model.getMove().getFromVersion()));
        long now = mLoop.nowNanos();
        long recent = perMinute(target, route, now) + perMinute(current, route, now);
        VersionSplit.RouteState state =
                new VersionSplit.RouteState(
                        mVerdict.isStopped(model.getMove().getId()),
                        recent,
                        running(target),
                        hasLowRateTurn(model.getMove().getId()));
        String version =
                mSplits.computeIfAbsent(id, m -> new VersionSplit())
                        .choose(request, route, model.getMove(), state);
        return PoolId.of(id, VersionId.of(version));
    }

    /**
     * Chooses the version for a repeat: the one that is not under trial, since the new one may have
     * failed the request already, and a caller must not pay twice for the trial.
     */
    public static PoolId chooseForRetry(Model model) {
        boolean onTrial = model.hasMove() && model.getMove().getPhase() != MovePhase.DONE;
        String version = onTrial ? model.getMove().getFromVersion() : model.getCurrentVersion();
        return PoolId.of(ModelId.of(model.getId()), VersionId.of(version));
    }

    /** One router of those that are linked sends the single requests of a canary at low rates. */
    private boolean hasLowRateTurn(String moveId) {
        TreeSet<VmId> routers = new TreeSet<>(mPeers.get());
        routers.add(mSelf.vm());
        return Owners.ownerOf(BackendServerId.of(moveId), routers).orElseThrow().equals(mSelf.vm());
    }

    private long perMinute(PoolId pool, String route, long now) {
        RouteCounts counts = mRoutes.get(new RouteKey(pool, route));
        return counts == null ? 0 : counts.perMinute(now);
    }

    private long running(PoolId pool) {
        return mRoutes.entrySet().stream()
                .filter(e -> e.getKey().pool().equals(pool))
                .mapToLong(e -> e.getValue().mRunning)
                .sum();
    }

    private RouteCounts counts(PoolId pool, String route) {
        RouteKey key = new RouteKey(pool, route);
        if (!mRoutes.containsKey(key) && mRoutes.size() >= MAX_ROUTES) {
            key = new RouteKey(pool, OTHER_ROUTES);
        }
        return mRoutes.computeIfAbsent(key, k -> new RouteCounts());
    }

    @Override
    public void onStart(PoolId pool, String route) {
        RouteCounts counts = counts(pool, route);
        counts.mRunning++;
        counts.noteArrival(mLoop.nowNanos());
    }

    @Override
    public void onEnd(PoolId pool, String route, CompletionStatus status, long millis) {
        RouteCounts counts = counts(pool, route);
        counts.mRunning = Math.max(0, counts.mRunning - 1);
        if (status == CompletionStatus.WITHOUT_EVIDENCE) {
            return;
        }
        counts.mRequests++;
        if (status == CompletionStatus.FAILED) {
            counts.mErrors++;
        }
        counts.mBuckets[bucketOf(millis)]++;
    }

    /** Returns the smallest i with {@code millis <= 2^(i/4)}, at most the last bucket. */
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

    /** Judges moves by the own evidence and reports it; called every second. */
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
        report.addAllStops(mVerdict.onTick(configuration, now));
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
        return route.build();
    }
}
