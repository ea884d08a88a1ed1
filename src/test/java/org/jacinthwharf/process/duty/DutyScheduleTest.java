package org.jacinthwharf.process.duty;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards the rules of outside calls while leaders change, members pause and calls are carried out
 * late: one token has one holder, one window one content, and no holder acts again within the lease
 * after another one has.
 */
final class DutyScheduleTest {
    private static final int SCHEDULES = 300;
    private static final int STEPS = 60;

    @Test
    void reportsAndOrdersGoOutWhileNothingFails() {
        DutyGroup group = new DutyGroup(3, new SplittableRandom(1));
        group.elect(0);
        group.run(31_000);
        assertThat(group.mViolations).isEmpty();
        assertThat(group.reportedWindows()).isAtLeast(5);
        assertThat(group.mAccepted).isEqualTo(group.reportedWindows() + 1);
    }

    /** A report that a new holder makes up from its own counts would be a second content. */
    @Test
    void successorReportsWindowsThatWereFixedBefore() {
        DutyGroup group = new DutyGroup(3, new SplittableRandom(2));
        group.elect(0);
        group.mLatePart = 1;
        group.run(7_000);
        group.mMembers.get(0).freeze(false);
        group.mLatePart = 0;
        group.elect(1);
        group.run(25_000);
        assertThat(group.mViolations).isEmpty();
        assertThat(group.reportedWindows()).isAtLeast(4);
    }

    /** A late order of an earlier number must not undo the newer one. */
    @Test
    void newerOrderGoesOutUnderNewTokenIfTheEarlierOneWasNotAnswered() {
        DutyGroup group = new DutyGroup(3, new SplittableRandom(3));
        group.elect(0);
        group.mLatePart = 1;
        group.run(1_500);
        DutyGroup.Member leader = group.mMembers.get(0);
        long token = leader.mState.token(Duty.SERVER_SCALING);
        leader.mWanted = 9;
        group.mLatePart = 0;
        group.run(6_000);
        assertThat(leader.mState.token(Duty.SERVER_SCALING)).isGreaterThan(token);
        assertThat(leader.mState.order("s", "west").orElseThrow().getServers()).isEqualTo(9);
        assertThat(leader.mState.order("s", "west").orElseThrow().getDelivered()).isTrue();
    }

    @Test
    void rulesHoldOverRandomSchedules() {
        int accepted = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            DutyGroup group = new DutyGroup(3, random);
            group.elect(0);
            group.mLatePart = random.nextBoolean() ? 0 : 0.2;
            for (int step = 0; step < STEPS; step++) {
                disturb(group, random);
                group.run(random.nextInt(1_500));
            }
            assertWithMessage("seed %s", seed).that(group.mViolations).isEmpty();
            accepted += group.mAccepted;
        }
        // The schedules must not be so hard that nothing is ever sent.
        assertThat(accepted).isGreaterThan(5 * SCHEDULES);
    }

    private static void disturb(DutyGroup group, SplittableRandom random) {
        DutyGroup.Member member = group.mMembers.get(random.nextInt(group.mMembers.size()));
        switch (random.nextInt(10)) {
            case 0, 1 -> group.elect(member.mIndex);
            case 2, 3 -> member.learnOfLeader();
            case 4 -> {
                member.freeze(random.nextBoolean());
                group.after(random.nextInt(6_000), member::resume);
            }
            case 5 -> member.mWallOffset += random.nextInt(-4_000, 4_000);
            case 6 -> member.mWanted = 1 + random.nextInt(9);
            case 7 -> member.restart();
            default -> {}
        }
    }
}
