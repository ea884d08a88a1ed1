package org.jacinthwharf.process.assembly;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.LocalStop;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.MovePhase;
import org.jacinthwharf.wire.generated.VersionEvidence;
import org.jacinthwharf.wire.generated.VersionMove;
import org.junit.jupiter.api.Test;

/** Guards against a leader that evaluates a move by evidence of an earlier leadership. */
final class SupervisedMovePlannerTest implements EventLoop {
    @Test
    void evidenceOfAnEarlierLeadershipIsNotUsed() {
        Configuration configuration =
                Configuration.newBuilder()
                        .addModels(
                                Model.newBuilder()
                                        .setId("m")
                                        .setMove(
                                                VersionMove.newBuilder()
                                                        .setId("m1")
                                                        .setDeadlineMillis(100_000)
                                                        .setPhase(MovePhase.CANARY)))
                        .build();
        SupervisedMovePlanner planner = new SupervisedMovePlanner(this);
        planner.onEvidence(
                VersionEvidence.newBuilder()
                        .setRouter("r1")
                        .setSequence(1)
                        .addStops(LocalStop.newBuilder().setMoveId("m1").setReason("slow"))
                        .build(),
                0);
        assertThat(planner.tick(configuration, 0).get(0).getPhase())
                .isEqualTo(MovePhase.ROLLED_BACK);

        planner.onLeadershipAcquired();

        assertThat(planner.tick(configuration, 0)).isEmpty();
    }

    @Override
    public void execute(Runnable task) {}

    @Override
    public void schedule(Duration delay, Runnable task) {}

    @Override
    public void scheduleRepeatedly(Duration period, Runnable task) {}

    @Override
    public long nowNanos() {
        return 0;
    }

    @Override
    public long nowMillis() {
        return 0;
    }
}
