package org.jacinthwharf.process.consensus;

import java.time.Duration;
import java.util.List;
import org.jacinthwharf.process.consensus.SimulatedGroup.Member;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against lost, reverted or diverging commands under random faults (G11). */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class RaftScheduleTest {
    private static final int ROUNDS = 60;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void acknowledgedCommandsSurviveLossReorderingPartitionsAndCrashes(long seed) {
        SimulatedGroup g = SimulatedGroup.started(seed, "a", "b", "c");
        List<Member> members = List.copyOf(g.mMembers.values());
        g.mLoss = 0.05;
        g.mMaxDelayNanos = Duration.ofMillis(60).toNanos();
        for (int i = 0; i < ROUNDS; i++) {
            Member m = members.get(g.mRandom.nextInt(members.size()));
            switch (g.mRandom.nextInt(6)) {
                case 0 -> g.setIsolated(m.mVm, true);
                case 1 -> g.setIsolated(m.mVm, false);
                case 2 -> m.mFolder.crashAfter(g.mRandom.nextInt(12));
                case 3 -> m.suspend(Duration.ofMillis(g.mRandom.nextInt(3_000)));
                default -> members.stream().filter(x -> !x.isRunning()).forEach(Member::start);
            }
            for (int p = 0; p < 8; p++) {
                g.propose();
                g.run(Duration.ofMillis(g.mRandom.nextInt(120)));
            }
        }
        members.forEach(m -> m.mFolder.crashAfter(Integer.MAX_VALUE));
        g.healAndCheckAcknowledged();
    }
}
