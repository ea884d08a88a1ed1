package org.jacinthwharf.process.consensus;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.time.Duration;
import org.jacinthwharf.process.consensus.SimulatedGroup.Member;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against lost commands, second groups and unneeded elections after single faults (G11). */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class RaftRecoveryTest {
    private static final int SEEDS = 40;

    private final SimulatedGroup mGroup = SimulatedGroup.started(11, "a", "b", "c");

    private void repair(String vm) {
        Member m = mGroup.mMembers.get(vm);
        m.loseDisk();
        m.start();
        mGroup.runUntil(
                "repair of " + vm,
                () ->
                        m.status().members().size() == 3
                                && m.status().role() != RaftStatus.Role.LEARNER);
    }

    @Test
    void secondMemberLostRightAfterRepairLosesNoCommand() {
        mGroup.commitOne();
        repair("b");
        mGroup.mMembers.get(mGroup.leader().orElseThrow().mVm.equals("a") ? "a" : "c").loseDisk();
        mGroup.commitOne();
        mGroup.healAndCheckAcknowledged();
    }

    @Test
    void twoLostDisksFoundNoSecondGroup() {
        mGroup.commitOne();
        mGroup.mMembers.get("a").loseDisk();
        mGroup.mMembers.get("b").loseDisk();
        mGroup.mMembers.get("a").start();
        mGroup.mMembers.get("b").start();
        mGroup.run(Duration.ofSeconds(30));
        assertThat(mGroup.leader()).isEmpty();
    }

    @Test
    void isolatedMemberRejoinsWithoutRaisingTheTerm() {
        // A member campaigns only if its log contains the member set.
        mGroup.healAndCheckAcknowledged();
        Member leader = mGroup.leader().orElseThrow();
        String other = leader.mVm.equals("c") ? "b" : "c";
        long term = leader.status().term();
        mGroup.setIsolated(other, true);
        mGroup.run(Duration.ofSeconds(60));
        mGroup.setIsolated(other, false);
        mGroup.run(Duration.ofSeconds(5));
        assertThat(leader.status().term()).isEqualTo(term);
        assertThat(leader.status().role()).isEqualTo(RaftStatus.Role.LEADER);
    }

    /** Guards the failure table: elections that take longer than 2 s, in groups of 3 and 5. */
    @Test
    void lostLeaderIsReplacedWithinTwoSeconds() {
        for (int seed = 0; seed < 60; seed++) {
            SimulatedGroup group =
                    seed % 2 == 0
                            ? SimulatedGroup.started(seed, "a", "b", "c")
                            : SimulatedGroup.started(seed, "a", "b", "c", "d", "e");
            group.healAndCheckAcknowledged();
            group.leader().orElseThrow().crash();
            group.run(Duration.ofMillis(2_000));
            assertWithMessage("seed=%s", seed).that(group.leader()).isPresent();
        }
    }

    /**
     * Guards against an endless exchange with a member that lost entries after acknowledging them:
     * 10 s with heartbeats every 150 ms need about 270 messages.
     */
    @Test
    void memberThatLostAcknowledgedEntriesCausesNoEndlessExchange() {
        mGroup.healAndCheckAcknowledged();
        String leader = mGroup.leader().orElseThrow().mVm;
        Member lossy = mGroup.mMembers.get(leader.equals("c") ? "b" : "c");
        lossy.mFolder.ignoreSyncs();
        for (int i = 0; i < 20; i++) {
            mGroup.commitOne();
        }
        mGroup.run(Duration.ofMillis(500));
        lossy.crash();
        lossy.start();
        mGroup.run(Duration.ofMillis(500));
        mGroup.mSent = 0;
        mGroup.run(Duration.ofSeconds(10));
        assertThat(mGroup.mSent).isLessThan(600);
        mGroup.commitOne();
    }

    /** Guards the leader's memory while no majority commits; a refused proposal must not run. */
    @Test
    void proposalsBeyondTheBoundAreRefusedAndNeverRun() {
        Member leader = mGroup.leader().orElseThrow();
        mGroup.mMembers.keySet().stream()
                .filter(vm -> !vm.equals(leader.mVm))
                .forEach(vm -> mGroup.setIsolated(vm, true));
        for (int i = 0; i < RaftNode.MAX_PENDING_PROPOSALS; i++) {
            assertThat(leader.mNode.propose(ByteString.copyFromUtf8("p" + i)).isDone()).isFalse();
        }
        assertThat(leader.mNode.propose(ByteString.copyFromUtf8("refused")).join())
                .isEqualTo(new ProposeOutcome.Overloaded());
        mGroup.mMembers.keySet().forEach(vm -> mGroup.setIsolated(vm, false));
        mGroup.commitOne();
        assertThat(mGroup.leader().orElseThrow().mState).doesNotContain("refused");
    }

    @Test
    void isolatedLeaderNeverConfirmsItsLeadership() {
        Member old = mGroup.leader().orElseThrow();
        mGroup.setIsolated(old.mVm, true);
        var read = old.mNode.confirmLeadership();
        mGroup.run(Duration.ofSeconds(3));
        assertThat(read.join()).isFalse();
    }

    @Test
    void restartAfterThousandCommandsReplaysLessThanOneSnapshotInterval() {
        for (int i = 0; i < 1_200; i++) {
            mGroup.propose();
            mGroup.run(Duration.ofMillis(2));
        }
        mGroup.commitOne();
        mGroup.healAndCheckAcknowledged();
        Member m = mGroup.leader().orElseThrow();
        m.crash();
        m.start();
        mGroup.healAndCheckAcknowledged();
        assertThat(mGroup.mAcknowledged.size()).isAtLeast(1_000);
        assertThat(m.mReplayed).isLessThan(RaftNode.SNAPSHOT_INTERVAL_ENTRIES);
    }

    // Guards against a fleet that is unavailable for an election timeout after a power loss.
    @Test
    void aGroupThatLostPowerElectsWithinOneSecond() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedGroup g = SimulatedGroup.started(seed, "a", "b", "c");
            g.commitOne();
            g.mMembers.values().forEach(Member::crash);
            g.run(Duration.ofSeconds(1));
            g.mMembers.values().forEach(Member::start);
            long start = g.mNowNanos;
            g.runUntil("leader", () -> g.leader().isPresent());
            assertWithMessage("seed %s", seed)
                    .that(Duration.ofNanos(g.mNowNanos - start))
                    .isLessThan(Duration.ofSeconds(1));
            g.healAndCheckAcknowledged();
        }
    }

    // Guards against an election caused by the restart of a follower.
    @Test
    void aMemberThatRestartsDoesNotDeposeTheLeader() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedGroup g = SimulatedGroup.started(seed, "a", "b", "c");
            g.healAndCheckAcknowledged();
            Member leader = g.leader().orElseThrow();
            long term = leader.status().term();
            Member other = g.mMembers.get(leader.mVm.equals("c") ? "b" : "c");
            other.crash();
            g.run(Duration.ofMillis(300));
            other.start();
            g.run(Duration.ofSeconds(5));
            assertWithMessage("seed %s", seed)
                    .that(leader.status().role())
                    .isEqualTo(RaftStatus.Role.LEADER);
            assertThat(leader.status().term()).isEqualTo(term);
        }
    }
}
