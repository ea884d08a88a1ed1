package org.jacinthwharf.version;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.jacinthwharf.version.MoveSimulation.Behaviour;
import org.jacinthwharf.wire.generated.MovePhase;
import org.jacinthwharf.wire.generated.RouteEvidence;
import org.junit.jupiter.api.Test;

/**
 * Guards against a version that is completed since its late answers are never seen: the gateway
 * gives them up at the deadline, or their callers have left.
 */
final class UnansweredEvidenceTest {
    private static final int DEADLINE = 60;
    private static final int DEADLINE_BUCKET = 40;
    private static final int MOVES = Integer.getInteger("simulation.seeds", 100);
    private static final Behaviour TWO_PERCENT = (version, route, second, share) -> 0.02;

    /** Outcomes of many moves. */
    private static final class Outcomes {
        int mDone;
        int mRolledBack;
        int mOverExposed;
    }

    private static Outcomes run(Behaviour slowness, double leavingShare) {
        Outcomes outcomes = new Outcomes();
        for (int i = 0; i < MOVES; i++) {
            MoveSimulation s = new MoveSimulation(i, 6, 300, DEADLINE, TWO_PERCENT, slowness);
            s.mDeadlineBucket = DEADLINE_BUCKET;
            s.mLeavingShare = leavingShare;
            MovePhase end = s.runToEnd();
            outcomes.mDone += end == MovePhase.DONE ? 1 : 0;
            outcomes.mRolledBack += end == MovePhase.ROLLED_BACK ? 1 : 0;
            outcomes.mOverExposed += s.mNewRequests > 0.1 * s.mRequests + 50 ? 1 : 0;
        }
        System.out.printf(
                "leaving=%s: %d moves, done %d, rolled back %d, over-exposed %d%n",
                leavingShare, MOVES, outcomes.mDone, outcomes.mRolledBack, outcomes.mOverExposed);
        return outcomes;
    }

    private static double slowPart(String version) {
        return version.equals("v2") ? 0.4 : 0.02;
    }

    @Test
    void versionWhoseLateAnswersAreGivenUpIsRolledBack() {
        Outcomes outcomes = run((version, route, second, share) -> slowPart(version), 0);
        assertThat(outcomes.mRolledBack).isEqualTo(MOVES);
        assertThat(outcomes.mOverExposed).isEqualTo(0);
    }

    @Test
    void versionWhoseCallersLeaveBeforeItsLateAnswersIsRolledBack() {
        Outcomes outcomes = run((version, route, second, share) -> slowPart(version), 0.5);
        assertThat(outcomes.mRolledBack).isEqualTo(MOVES);
        assertThat(outcomes.mOverExposed).isEqualTo(0);
    }

    /** The design allows 1 false rollback in 100 moves. */
    @Test
    void goodVersionIsNotRolledBackForCallersThatLeaveAndAnswersThatAreLate() {
        Outcomes outcomes = run(TWO_PERCENT, 0.5);
        assertThat(outcomes.mRolledBack).isAtMost(MOVES / 100);
    }

    /**
     * Both versions are slow for 10 s, for example since their callers send more than they take.
     */
    @Test
    void goodVersionIsNotRolledBackForAnIncidentOfBothVersions() {
        Outcomes outcomes =
                run(
                        (version, route, second, share) -> second >= 20 && second < 30 ? 0.5 : 0.02,
                        0.2);
        assertThat(outcomes.mRolledBack).isAtMost(MOVES / 100);
    }

    @Test
    void attemptThatWasGivenUpEarlyCountsNeitherAsSlowNorAsQuick() {
        RouteEvidence.Builder evidence = RouteEvidence.newBuilder();
        for (int i = 0; i < 50; i++) {
            evidence.addLatencyBuckets(i == 10 ? 100 : 0);
            evidence.addUnansweredBuckets(i == 5 ? 7 : i == 30 ? 3 : 0);
        }
        RequestCounts counts = new RequestCounts();
        counts.addDelta(RouteEvidence.getDefaultInstance(), evidence.build());
        assertThat(counts.latencyCount()).isEqualTo(100);
        assertThat(counts.slowCount(20)).isEqualTo(3);
        assertThat(counts.comparableCount(20)).isEqualTo(103);
        assertWithMessage("all that waited longer than 2^(4/4) ms")
                .that(counts.slowCount(4))
                .isEqualTo(110);
    }
}
