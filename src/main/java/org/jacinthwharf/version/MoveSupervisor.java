package org.jacinthwharf.version;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.MovePhase;
import org.jacinthwharf.wire.generated.MoveStep;
import org.jacinthwharf.wire.generated.VersionMove;

/**
 * Drives version moves from canary to their end.
 *
 * <p>The control leader creates one when it takes the lead, with an empty aggregator, and drops it
 * when it loses the lead. All that a successor needs is in the {@link VersionMove}; evidence starts
 * anew. Steps state absolute targets, so a repeated step does no harm.
 *
 * <p>Invariants: a share rises by at most one step at a time and only with evidence from this
 * leader; every move ends as done, rolled back or missed by its deadline. Not thread-safe.
 */
public final class MoveSupervisor {
    /** Probability that one test calls a good version bad during one move. */
    static final double FALSE_ALARM_RATE = 0.001;

    /** Shares of the steps in 1/10,000. */
    private static final int[] SHARES = {500, 1_000, 2_500, 5_000, 10_000};

    /** Fractions of the time to the deadline at which the steps are planned. */
    private static final double[] PLAN = {0, 0.2, 0.4, 0.6, 0.8};

    /** A later last step leaves too little time for watching. */
    private static final double LAST_STEP = 0.85;

    private static final double WATCH_END = 0.95;
    private static final double SHORTEST_STEP = 0.03;

    /** Time for the last step to be committed and pushed before the deadline. */
    private static final long COMMIT_MILLIS = 2_000;

    /** Requests of the new version needed at each step beyond the canary. */
    private static final long REQUESTS_PER_STEP = 20;

    /** Requests of the old version to know its rates by, before the canary starts. */
    private static final long REFERENCE_REQUESTS = 1_000;

    /** Fraction of the time after which the canary starts also with few such requests. */
    private static final double LATEST_CANARY = 0.05;

    private static final class Watch {
        MoveVerdict mVerdict;
        int mShare;
        long mShareSinceMillis;
        long mRequestsAtShare;
    }

    private final EvidenceAggregator mAggregator;
    private final Map<String, Watch> mWatches = new HashMap<>();

    /** Creates a supervisor that judges by {@code aggregator}. */
    public MoveSupervisor(EvidenceAggregator aggregator) {
        mAggregator = aggregator;
    }

    /** Returns the steps to commit now; to be called every 200 to 1,000 ms. */
    public ImmutableList<MoveStep> onTick(
            Configuration configuration, long nowMillis, long nowNanos) {
        ImmutableList.Builder<MoveStep> steps = ImmutableList.builder();
        Set<String> active = new HashSet<>();
        for (Model model : configuration.getModelsList()) {
            if (isActive(model)) {
                active.add(model.getMove().getId());
                step(model, nowMillis, nowNanos).ifPresent(steps::add);
            }
        }
        mWatches.keySet().retainAll(active);
        return steps.build();
    }

    /** Returns whether the model has a move that has not ended. */
    static boolean isActive(Model model) {
        return model.hasMove()
                && switch (model.getMove().getPhase()) {
                    case CANARY, RAMP, WATCH -> true;
                    default -> false;
                };
    }

    private Optional<MoveStep> step(Model model, long nowMillis, long nowNanos) {
        VersionMove move = model.getMove();
        Watch watch = watch(model, nowMillis, nowNanos);
        Optional<String> bad = watch.mVerdict.judge(mAggregator, nowNanos);
        if (bad.isEmpty()) {
            bad = mAggregator.localStop(move.getId());
        }
        if (bad.isPresent()) {
            return end(model, MovePhase.ROLLED_BACK, bad.get());
        }
        double progress = progress(move, nowMillis);
        if (move.getPhase() == MovePhase.WATCH) {
            return watchStep(model, watch, progress, nowMillis, nowNanos);
        }
        if (move.getShareBasisPoints() == 0) {
            boolean enough =
                    mAggregator.total(model.getId(), move.getFromVersion(), Optional.empty())
                                    .mRequests
                            >= REFERENCE_REQUESTS;
            return enough || progress >= LATEST_CANARY
                    ? Optional.of(stepOf(model, MovePhase.CANARY, SHARES[0], "canary"))
                    : Optional.empty();
        }
        if (progress >= LAST_STEP || isLate(move, nowMillis)) {
            return end(
                    model,
                    MovePhase.MISSED_DEADLINE,
                    "too little evidence or capacity: share "
                            + move.getShareBasisPoints()
                            + "/10000 after "
                            + watch.mVerdict.requests()
                            + " judged requests");
        }
        return rampStep(model, watch, progress, nowMillis);
    }

    private Watch watch(Model model, long nowMillis, long nowNanos) {
        VersionMove move = model.getMove();
        Watch watch =
                mWatches.computeIfAbsent(
                        move.getId(),
                        ignored -> {
                            Watch created = new Watch();
                            created.mVerdict =
                                    new MoveVerdict(
                                            model.getId(),
                                            move,
                                            FALSE_ALARM_RATE,
                                            mAggregator,
                                            nowNanos);
                            created.mShare = -1;
                            return created;
                        });
        if (watch.mShare != move.getShareBasisPoints()) {
            watch.mShare = move.getShareBasisPoints();
            watch.mShareSinceMillis = nowMillis;
            watch.mRequestsAtShare = watch.mVerdict.requests();
        }
        return watch;
    }

    private Optional<MoveStep> rampStep(Model model, Watch watch, double progress, long nowMillis) {
        VersionMove move = model.getMove();
        int next = 0;
        while (SHARES[next] <= move.getShareBasisPoints()) {
            next++;
            if (next == SHARES.length) {
                return Optional.of(stepOf(model, MovePhase.WATCH, 10_000, "watch"));
            }
        }
        double atShare = progress - progress(move, watch.mShareSinceMillis);
        boolean evidence =
                watch.mVerdict.requests() - watch.mRequestsAtShare >= REQUESTS_PER_STEP
                        && watch.mVerdict.isGood();
        if (progress < PLAN[next] || atShare < SHORTEST_STEP || !evidence) {
            return Optional.empty();
        }
        boolean last = next == SHARES.length - 1;
        return Optional.of(
                stepOf(
                        model,
                        last ? MovePhase.WATCH : MovePhase.RAMP,
                        SHARES[next],
                        last ? "watch" : "ramp"));
    }

    private Optional<MoveStep> watchStep(
            Model model, Watch watch, double progress, long nowMillis, long nowNanos) {
        VersionMove move = model.getMove();
        long running = mAggregator.running(model.getId(), move.getFromVersion(), nowNanos);
        // Before a near deadline 5% of the time is shorter than the time to commit the last step.
        boolean watched =
                progress >= WATCH_END || nowMillis >= move.getDeadlineMillis() - 2 * COMMIT_MILLIS;
        if (watched && running == 0 && watch.mVerdict.isGood()) {
            return Optional.of(stepOf(model, MovePhase.DONE, 10_000, "done"));
        }
        if (isLate(move, nowMillis)) {
            return end(
                    model,
                    MovePhase.MISSED_DEADLINE,
                    running > 0
                            ? "old version still runs " + running + " requests"
                            : "too little evidence while watching");
        }
        return Optional.empty();
    }

    private static boolean isLate(VersionMove move, long nowMillis) {
        return nowMillis >= move.getDeadlineMillis() - COMMIT_MILLIS;
    }

    private static double progress(VersionMove move, long nowMillis) {
        double whole = move.getDeadlineMillis() - move.getStartedMillis();
        return whole <= 0 ? 1 : (nowMillis - move.getStartedMillis()) / whole;
    }

    private static Optional<MoveStep> end(Model model, MovePhase phase, String reason) {
        return Optional.of(stepOf(model, phase, 0, reason));
    }

    private static MoveStep stepOf(Model model, MovePhase phase, int share, String reason) {
        return MoveStep.newBuilder()
                .setModel(model.getId())
                .setMoveId(model.getMove().getId())
                .setPhase(phase)
                .setShareBasisPoints(share)
                .setReason(reason)
                .build();
    }
}
