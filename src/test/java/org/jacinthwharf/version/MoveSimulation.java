package org.jacinthwharf.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.MovePhase;
import org.jacinthwharf.wire.generated.MoveStep;
import org.jacinthwharf.wire.generated.RouteEvidence;
import org.jacinthwharf.wire.generated.VersionEvidence;
import org.jacinthwharf.wire.generated.VersionMove;

/** Simulates routers that split requests between two versions and a leader; 1 s per step. */
final class MoveSimulation {
    static final List<String> ROUTES = List.of("generate", "tags");
    static final long SECOND_NANOS = 1_000_000_000L;
    private static final int SLOW_BUCKET = 44;

    /** The rate of bad requests of a version on a route, by second and share. */
    interface Behaviour {
        double badRate(String version, String route, int second, int shareBasisPoints);
    }

    final Random mRandom;
    final int mRouters;
    final int mRate;
    final int mDeadlineSeconds;
    final Behaviour mErrors;
    final Behaviour mSlowness;
    final Map<String, RouteEvidence.Builder> mCounts = new HashMap<>();
    final List<VersionSplit> mSplits = new ArrayList<>();
    int mSecond;
    double mReportLoss;
    boolean mLeader = true;

    /** If true, all reports to the leader are lost. */
    boolean mEvidenceLost;

    boolean mLocalVerdicts = true;

    /** Slow requests end unanswered in this bucket, at the deadline of their callers. */
    int mDeadlineBucket = Integer.MAX_VALUE;

    /**
     * Share of callers that leave before they are answered, at any time before the slow answers.
     */
    double mLeavingShare;

    /** If positive, each router gets one request on route "tags" in this number of seconds. */
    int mTagsIntervalSeconds;

    Model mModel;
    EvidenceAggregator mAggregator = new EvidenceAggregator(0);
    MoveSupervisor mSupervisor = new MoveSupervisor(mAggregator);
    final List<EvidenceAggregator> mOwnAggregators = new ArrayList<>();
    final List<LocalVerdict> mLocals = new ArrayList<>();
    long mRequests;
    long mNewRequests;
    long mNewRequestsInSecond;

    MoveSimulation(
            long seed,
            int routers,
            int requestsPerSecond,
            int deadlineSeconds,
            Behaviour errors,
            Behaviour slowness) {
        mRandom = new Random(seed);
        mRouters = routers;
        mRate = requestsPerSecond;
        mDeadlineSeconds = deadlineSeconds;
        mErrors = errors;
        mSlowness = slowness;
        for (int i = 0; i < routers; i++) {
            mSplits.add(new VersionSplit());
            mOwnAggregators.add(new EvidenceAggregator(0));
            mLocals.add(new LocalVerdict(mOwnAggregators.get(i), routers));
        }
        mModel =
                Model.newBuilder()
                        .setId("briefing")
                        .setMove(
                                VersionMove.newBuilder()
                                        .setId("move-1")
                                        .setFromVersion("v1")
                                        .setToVersion("v2")
                                        .setDeadlineMillis(deadlineSeconds * 1000L)
                                        .setPhase(MovePhase.CANARY))
                        .build();
    }

    /** Replaces the leader with one that has only the committed move and no evidence. */
    void replaceLeader() {
        mAggregator = new EvidenceAggregator(mSecond * 1000L);
        mSupervisor = new MoveSupervisor(mAggregator);
    }

    void step() {
        mNewRequestsInSecond = 0;
        for (int router = 0; router < mRouters; router++) {
            for (String route : ROUTES) {
                for (int i = 0; i < requests(route, mSecond); i++) {
                    request(router, route);
                }
            }
            report(router);
        }
        Configuration configuration = Configuration.newBuilder().addModels(mModel).build();
        if (mLeader) {
            mSupervisor.onTick(configuration, mSecond * 1000L, nanos()).forEach(this::commit);
        }
        if (mLocalVerdicts) {
            mLocals.forEach(local -> local.onTick(configuration, nanos()));
        }
        mSecond++;
    }

    private int requests(String route, int second) {
        return mTagsIntervalSeconds > 0 && route.equals("tags")
                ? second % mTagsIntervalSeconds == 0 ? 1 : 0
                : mRate / mRouters / ROUTES.size();
    }

    private long requestsPerMinute(String route) {
        return mTagsIntervalSeconds > 0 && route.equals("tags")
                ? 60L / mTagsIntervalSeconds
                : 60L * requests(route, 0);
    }

    private void commit(MoveStep step) {
        mModel =
                mModel.toBuilder()
                        .setMove(
                                mModel.getMove().toBuilder()
                                        .setPhase(step.getPhase())
                                        .setShareBasisPoints(step.getShareBasisPoints())
                                        .setReason(step.getReason()))
                        .build();
    }

    private void request(int router, String route) {
        VersionMove move = mModel.getMove();
        String version =
                mSplits.get(router)
                        .choose(
                                RequestId.of("r" + mRandom.nextLong()),
                                route,
                                move,
                                new VersionSplit.RouteState(
                                        mLocals.get(router).isStopped(move.getId()),
                                        requestsPerMinute(route),
                                        0,
                                        router == 0));
        mRequests++;
        if (version.equals("v2")) {
            mNewRequests++;
            mNewRequestsInSecond++;
        }
        int share = move.getShareBasisPoints();
        boolean error = mRandom.nextDouble() < mErrors.badRate(version, route, mSecond, share);
        boolean slow = mRandom.nextDouble() < mSlowness.badRate(version, route, mSecond, share);
        RouteEvidence.Builder counts = counts(router, route, version);
        // Normal latencies are spread over 16 buckets; slow ones are far above.
        int bucket = slow ? SLOW_BUCKET : 16 + mRandom.nextInt(16);
        int left =
                mLeavingShare > 0 && mRandom.nextDouble() < mLeavingShare
                        ? mRandom.nextInt(SLOW_BUCKET)
                        : mDeadlineBucket;
        if (bucket > left) {
            counts.setUnansweredBuckets(left, counts.getUnansweredBuckets(left) + 1);
            return;
        }
        counts.setRequests(counts.getRequests() + 1);
        counts.setErrors(counts.getErrors() + (error ? 1 : 0));
        counts.setLatencyBuckets(bucket, counts.getLatencyBuckets(bucket) + 1);
    }

    private RouteEvidence.Builder counts(int router, String route, String version) {
        return mCounts.computeIfAbsent(
                router + route + version,
                ignored -> {
                    RouteEvidence.Builder counts =
                            RouteEvidence.newBuilder()
                                    .setModel("briefing")
                                    .setRoute(route)
                                    .setVersion(version);
                    for (int i = 0; i < 50; i++) {
                        counts.addLatencyBuckets(0);
                        counts.addUnansweredBuckets(0);
                    }
                    return counts;
                });
    }

    private void report(int router) {
        VersionEvidence.Builder evidence =
                VersionEvidence.newBuilder()
                        .setRouter("vm-" + router)
                        .setRouterIncarnation(1)
                        .setSequence(mSecond + 1);
        for (String route : ROUTES) {
            evidence.addRoutes(counts(router, route, "v1"));
            evidence.addRoutes(counts(router, route, "v2"));
        }
        mOwnAggregators.get(router).record(evidence.build(), nanos());
        if (mEvidenceLost) {
            return;
        }
        if (mRandom.nextDouble() >= mReportLoss) {
            mAggregator.record(evidence.build(), nanos());
        }
        if (mRandom.nextDouble() < mReportLoss) {
            mAggregator.record(evidence.build(), nanos());
        }
    }

    long nanos() {
        return mSecond * SECOND_NANOS;
    }

    MovePhase phase() {
        return mModel.getMove().getPhase();
    }

    boolean isActive() {
        return MoveSupervisor.isActive(mModel);
    }

    MovePhase runToEnd() {
        while (isActive() && mSecond < 2 * mDeadlineSeconds) {
            step();
        }
        return phase();
    }
}
