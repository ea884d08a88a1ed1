package org.jacinthwharf.process.consensus;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.jacinthwharf.process.consensus.SimulatedGroup.Member;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against groups that never elect a leader again, or lose commands, when members are
 * replaced, restarted, wiped, cut off or slowed one after the other, each as soon as the one before
 * has had its time to recover.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class RaftReplacementScheduleTest {
    private static final int STEPS = 15;
    private static final Duration GRACE = Duration.ofSeconds(4);

    /** Time after which a VM that is back, or new, no longer counts as lost. */
    private static final Duration SYNC_TIME = Duration.ofSeconds(4);

    private SimulatedGroup mGroup;
    private Random mSteps;
    private int mVms;

    static LongStream seeds() {
        return LongStream.range(0, Long.getLong("simulation.seeds", 20));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void aLeaderIsElectedAndNothingAcknowledgedIsLost(long seed) {
        mGroup = SimulatedGroup.started(seed, "vm0", "vm1", "vm2");
        mGroup.mLoss = 0.01;
        mSteps = new Random(seed);
        mVms = 3;
        if (seed % 2 == 0) {
            startNewVm();
        }
        for (int i = 0; i < STEPS; i++) {
            switch (mSteps.nextInt(7)) {
                case 0 -> replaceAsPlanned();
                case 1 -> replaceWithoutNotice();
                case 2 -> restartAsPlanned();
                case 3 -> restartTwoTogether();
                case 4 -> cutOff();
                case 5 -> slowDisk();
                default -> {}
            }
            loseDisk();
        }
        mGroup.healAndCheckAcknowledged();
        long voters = mGroup.leader().orElseThrow().status().members().size();
        assertWithMessage("voters").that(voters).isAtLeast(MembershipChanges.MIN_MEMBERS);
    }

    private Member anyMember() {
        List<Member> members = List.copyOf(mGroup.mMembers.values());
        return members.get(mSteps.nextInt(members.size()));
    }

    private void run(Duration time) {
        long end = mGroup.mNowNanos + time.toNanos();
        while (mGroup.mNowNanos < end) {
            mGroup.propose();
            mGroup.run(Duration.ofMillis(1 + mSteps.nextInt(200)));
        }
    }

    private Member startNewVm() {
        Member m = mGroup.startNewVm("vm" + mVms++);
        run(SYNC_TIME);
        return m;
    }

    private void await(Member stopped) {
        mGroup.runUntil(stopped.mVm + " ends", () -> !stopped.isRunning());
    }

    /** The successor has had its time, so that nothing counts as lost afterwards. */
    private void replaceAsPlanned() {
        Member replaced = anyMember();
        startNewVm();
        replaced.terminate(GRACE);
        await(replaced);
        mGroup.remove(replaced.mVm);
    }

    private void replaceWithoutNotice() {
        Member replaced = anyMember();
        startNewVm();
        mGroup.remove(replaced.mVm);
        // Silence alone shows it.
        run(Duration.ofNanos(RaftTimings.REMOVAL_TIMEOUT_NANOS).plusSeconds(2));
    }

    private void restartAsPlanned() {
        Member m = anyMember();
        m.terminate(GRACE);
        await(m);
        run(Duration.ofMillis(mSteps.nextInt(1_000)));
        m.start();
        run(SYNC_TIME);
    }

    private void restartTwoTogether() {
        Member first = anyMember();
        Member second = anyMember();
        first.terminate(GRACE);
        run(Duration.ofMillis(mSteps.nextInt(300)));
        if (second.isRunning()) {
            second.terminate(GRACE);
        }
        await(first);
        await(second);
        first.start();
        if (!second.isRunning()) {
            second.start();
        }
        run(SYNC_TIME);
    }

    private void cutOff() {
        Member m = anyMember();
        mGroup.setIsolated(m.mVm, true);
        run(Duration.ofMillis(mSteps.nextInt(7_000)));
        mGroup.setIsolated(m.mVm, false);
        run(SYNC_TIME);
    }

    private void slowDisk() {
        Member m = anyMember();
        Duration before = m.mMaxWriteTime;
        m.mMaxWriteTime = Duration.ofMillis(1 + mSteps.nextInt(1_500));
        run(Duration.ofMillis(mSteps.nextInt(5_000)));
        m.mMaxWriteTime = before;
        run(SYNC_TIME);
    }

    private void loseDisk() {
        Member m = anyMember();
        m.loseDisk();
        run(Duration.ofMillis(mSteps.nextInt(2_000)));
        m.start();
        run(SYNC_TIME);
    }
}
