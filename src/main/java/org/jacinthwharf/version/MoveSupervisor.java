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
 * Advances version moves from the canary phase to their end.
 *
 * <p>The control leader creates one with an empty aggregator when it is elected and discards it
 * when it steps down. A successor needs only the {@link VersionMove} and collects its own evidence.
 * Steps state absolute targets and are therefore idempotent.
 *
 * <p>Invariants: a share rises by at most one step at a time and only with evidence collected by
 * this leader; every move ends as done, rolled back or missed by its deadline. Not thread-safe.
 */
public final class MoveSupervisor {
    /** Probability that one test rejects a good version during one move. */
    static final double FALSE_POSITIVE_RATE = 0.001;

    /** Shares of the new version at each step, in basis points. */
    private static final int[] RAMP_BASIS_POINTS = {500, 1_000, 2_500, 5_000, 10_000};

    /** Earliest time of each step, as a fraction of the time to the deadline. */
    private static final double[] PLANNED_PROGRESS = {0, 0.2, 0.4, 0.6, 0.8};

    /** A later last step would leave too little time for the watch phase. */
    private static final double LATEST_RAMP_FRACTION = 0.85;

    private static final double WATCH_END_FRACTION = 0.95;
    private static final double MIN_STEP_FRACTION = 0.03;

    /** Time to commit and push the last step before the deadline. */
    private static final long COMMIT_MARGIN_MILLIS = 2_000;

    /** Requests of the new version that each ramp step requires at the current share. */
    private static final long MIN_REQUESTS_PER_STEP = 20;

    /** Requests of the old version that establish its baseline rates before the canary starts. */
    private static final long MIN_BASELINE_REQUESTS = 1_000;

    /** Progress at which the canary starts even with fewer baseline requests. */
    private static final double LATEST_CANARY_FRACTION = 0.05;

    private static final class MoveState {
        MoveVerdict mVerdict;
        int mShare;
        long mShareSinceMillis;
        long mRequestsAtShare;
    }

    private final EvidenceAggregator mAggregator;
    private final Map<String, MoveState> mStates = new HashMap<>();

    /** Creates a supervisor that evaluates moves by the evidence in {@code aggregator}. */
    public MoveSupervisor(EvidenceAggregator aggregator) {
        mAggregator = aggregator;
    }

    /** Returns the steps to commit now; called every 200 to 1,000 ms. */
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
        mStates.keySet().retainAll(active);
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
        MoveState state = state(model, nowMillis, nowNanos);
        Optional<String> rejection = state.mVerdict.evaluate(mAggregator, nowNanos);
        if (rejection.isEmpty()) {
            rejection = mAggregator.localStop(move.getId());
        }
        if (rejection.isPresent()) {
            return end(model, MovePhase.ROLLED_BACK, rejection.get());
        }
        double progress = progress(move, nowMillis);
        if (move.getPhase() == MovePhase.WATCH) {
            return watchStep(model, state, progress, nowMillis, nowNanos);
        }
        if (move.getShareBasisPoints() == 0) {
            boolean enough =
                    mAggregator.total(model.getId(), move.getFromVersion(), Optional.empty())
                                    .mRequests
                            >= MIN_BASELINE_REQUESTS;
            return enough || progress >= LATEST_CANARY_FRACTION
                    ? Optional.of(stepOf(model, MovePhase.CANARY, RAMP_BASIS_POINTS[0], "canary"))
                    : Optional.empty();
        }
        if (progress >= LATEST_RAMP_FRACTION || isLate(move, nowMillis)) {
            return end(
                    model,
                    MovePhase.MISSED_DEADLINE,
                    "too little evidence or capacity: share "
                            + move.getShareBasisPoints()
                            + "/10000 after "
                            + state.mVerdict.requests()
                            + " judged requests");
        }
        return rampStep(model, state, progress, nowMillis);
    }

    private MoveState state(Model model, long nowMillis, long nowNanos) {
        VersionMove move = model.getMove();
        MoveState state =
                mStates.computeIfAbsent(
                        move.getId(),
                        ignored -> {
                            MoveState created = new MoveState();
                            created.mVerdict =
                                    new MoveVerdict(
                                            model.getId(),
                                            move,
                                            FALSE_POSITIVE_RATE,
                                            mAggregator,
                                            nowNanos);
                            created.mShare = -1;
                            return created;
                        });
        if (state.mShare != move.getShareBasisPoints()) {
            state.mShare = move.getShareBasisPoints();
            state.mShareSinceMillis = nowMillis;
            state.mRequestsAtShare = state.mVerdict.requests();
        }
        return state;
    }

    private Optional<MoveStep> rampStep(
            Model model, MoveState state, double progress, long nowMillis) {
        VersionMove move = model.getMove();
        int next = 0;
        while (RAMP_BASIS_POINTS[next] <= move.getShareBasisPoints()) {
            next++;
            if (next == RAMP_BASIS_POINTS.length) {
                return Optional.of(stepOf(model, MovePhase.WATCH, 10_000, "watch"));
            }
        }
        double elapsedAtShare = progress - progress(move, state.mShareSinceMillis);
        boolean hasEvidence =
                state.mVerdict.requests() - state.mRequestsAtShare >= MIN_REQUESTS_PER_STEP
                        && state.mVerdict.isGood();
        if (progress < PLANNED_PROGRESS[next]
                || elapsedAtShare < MIN_STEP_FRACTION
                || !hasEvidence) {
            return Optional.empty();
        }
        boolean last = next == RAMP_BASIS_POINTS.length - 1;
        return Optional.of(
                stepOf(
                        model,
                        last ? MovePhase.WATCH : MovePhase.RAMP,
                        RAMP_BASIS_POINTS[next],
                        last ? "watch" : "ramp"));
    }

    private Optional<MoveStep> watchStep(
            Model model, MoveState state, double progress, long nowMillis, long nowNanos) {
        VersionMove move = model.getMove();
        long running = mAggregator.running(model.getId(), move.getFromVersion(), nowNanos);
        // For short moves, the last 5% of the time are shorter than the time to commit the last
        // step.
        boolean watched =
                progress >= WATCH_END_FRACTION
                        || nowMillis >= move.getDeadlineMillis() - 2 * COMMIT_MARGIN_MILLIS;
        if (watched && running == 0 && state.mVerdict.isGood()) {
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
        return nowMillis >= move.getDeadlineMillis() - COMMIT_MARGIN_MILLIS;
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
