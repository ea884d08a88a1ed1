package org.jacinthwharf.process.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.jacinthwharf.process.consensus.SimulatedGroup.Member;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against groups that reject new VMs, keep lost VMs, or split during membership changes. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class RaftMembershipTest {
    private static final int SEEDS = 40;
    private static final Duration GRACE = Duration.ofSeconds(4);

    private static List<String> members(SimulatedGroup g) {
        return g.leader().orElseThrow().status().members().stream()
                .map(m -> m.getVmId())
                .sorted()
                .toList();
    }

    private static void awaitMembers(SimulatedGroup g, String... vms) {
        g.runUntil(
                "members " + List.of(vms),
                () -> g.leader().isPresent() && members(g).equals(List.of(vms)));
    }

    @Test
    void aVmThatWasNotConfiguredJoinsAndVotes() {
        SimulatedGroup g = SimulatedGroup.started(3, "a", "b", "c");
        g.commitOne();
        g.startNewVm("d");
        awaitMembers(g, "a", "b", "c", "d");
        g.commitOne();
        g.healAndCheckAcknowledged();
    }

    @Test
    void newVmReplacesLostVm() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedGroup g = SimulatedGroup.started(seed, "a", "b", "c");
            g.commitOne();
            String lost = List.of("a", "b", "c").get(seed % 3);
            g.mMembers.get(lost).crash();
            g.startNewVm("d");
            String[] left =
                    List.of("a", "b", "c", "d").stream()
                            .filter(v -> !v.equals(lost))
                            .toArray(String[]::new);
            awaitMembers(g, left);
            g.commitOne();
            assertThat(members(g)).containsExactlyElementsIn(List.of(left));
        }
    }

    @Test
    void anUnreachableMemberOfThreeIsNotRemoved() {
        SimulatedGroup g = SimulatedGroup.started(5, "a", "b", "c");
        g.commitOne();
        Member other = g.mMembers.get(g.leader().orElseThrow().mVm.equals("c") ? "b" : "c");
        other.crash();
        g.run(Duration.ofSeconds(30));
        assertThat(members(g)).containsExactly("a", "b", "c");
        g.commitOne();
    }

    @Test
    void aMemberThatWasSuspendedForLongRejoins() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedGroup g = SimulatedGroup.started(seed, "a", "b", "c");
            g.startNewVm("d");
            awaitMembers(g, "a", "b", "c", "d");
            Member suspended = g.mMembers.get(List.of("a", "b", "c", "d").get(seed % 4));
            suspended.suspend(Duration.ofSeconds(4 + seed % 9));
            g.run(Duration.ofSeconds(3));
            g.commitOne();
            awaitMembers(g, "a", "b", "c", "d");
            g.run(Duration.ofSeconds(15));
            awaitMembers(g, "a", "b", "c", "d");
            g.healAndCheckAcknowledged();
        }
    }

    /** A voter that has ended for good must not outlive its planned end in the members. */
    @Test
    void diskLostRightAfterPlannedReplacementLeavesMajority() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedGroup g = SimulatedGroup.started(seed, "a", "b", "c");
            g.commitOne();
            g.startNewVm("d");
            awaitMembers(g, "a", "b", "c", "d");
            Member replaced = g.mMembers.get(List.of("a", "b", "c").get(seed % 3));
            replaced.terminate(GRACE);
            g.runUntil("end", () -> !replaced.isRunning());
            assertThat(replaced.mLeaveOutcome).hasValue(LeaveOutcome.LEFT);
            g.remove(replaced.mVm);
            Member wiped = g.mMembers.get(replaced.mVm.equals("b") ? "c" : "b");
            wiped.loseDisk();
            g.run(Duration.ofSeconds(1));
            wiped.start();
            g.healAndCheckAcknowledged();
            awaitMembers(g, g.mMembers.keySet().stream().sorted().toArray(String[]::new));
        }
    }

    /** A group of three must not shrink when its members are restarted one after the other. */
    @Test
    void restartedMemberOfThreeStaysVoter() {
        SimulatedGroup g = SimulatedGroup.started(7, "a", "b", "c");
        for (String vm : List.of("a", "b", "c")) {
            g.commitOne();
            Member m = g.mMembers.get(vm);
            m.terminate(GRACE);
            g.runUntil("end", () -> !m.isRunning());
            assertThat(m.mLeaveOutcome).hasValue(LeaveOutcome.STAYS);
            g.commitOne();
            assertThat(members(g)).containsExactly("a", "b", "c");
            m.start();
        }
        g.healAndCheckAcknowledged();
    }

    /** Callers must not wait for an election timeout when a leader is restarted as planned. */
    @Test
    void aLeaderThatIsStoppedHandsOver() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedGroup g = SimulatedGroup.started(seed, "a", "b", "c");
            g.commitOne();
            Member leader = g.leader().orElseThrow();
            long stopped = g.mNowNanos;
            leader.terminate(GRACE);
            g.runUntil("end", () -> !leader.isRunning());
            g.runUntil("next leader", () -> g.leader().isPresent());
            assertThat(Duration.ofNanos(g.mNowNanos - stopped))
                    .isLessThan(Duration.ofNanos(RaftTimings.ELECTION_TIMEOUT_NANOS));
            g.healAndCheckAcknowledged();
        }
    }

    /** Only one of two members of four may leave, or two would be left without a spare vote. */
    @Test
    void twoMembersOfFourThatAreStoppedTogetherLeaveThreeVoters() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedGroup g = SimulatedGroup.started(seed, "a", "b", "c");
            g.startNewVm("d");
            awaitMembers(g, "a", "b", "c", "d");
            List<Member> stopped = List.of(g.mMembers.get("a"), g.mMembers.get("b"));
            stopped.forEach(m -> m.terminate(GRACE));
            g.runUntil("end", () -> stopped.stream().noneMatch(Member::isRunning));
            assertThat(stopped.stream().map(m -> m.mLeaveOutcome.orElseThrow()).toList())
                    .containsExactly(LeaveOutcome.LEFT, LeaveOutcome.STAYS);
            assertThat(members(g)).hasSize(3);
            g.commitOne();
            g.healAndCheckAcknowledged();
            awaitMembers(g, "a", "b", "c", "d");
        }
    }

    /** A member that is stopped must wait for the successor that is still behind. */
    @Test
    void aMemberThatIsStoppedWhileItsSuccessorSyncsIsReplaced() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedGroup g = SimulatedGroup.started(seed, "a", "b", "c");
            g.commitOne();
            g.startNewVm("d").mMaxWriteTime = Duration.ofMillis(600);
            g.runUntil("learner", () -> g.mMembers.get("d").status().leader().isPresent());
            Member replaced = g.mMembers.get("c");
            replaced.terminate(GRACE);
            g.runUntil("end", () -> !replaced.isRunning());
            assertThat(replaced.mLeaveOutcome).hasValue(LeaveOutcome.LEFT);
            g.remove("c");
            awaitMembers(g, "a", "b", "d");
        }
    }

    /** A member that is cut off from the leader must not wait for longer than it may. */
    @Test
    void aMemberThatIsStoppedWhileItIsCutOffEndsInTime() {
        SimulatedGroup g = SimulatedGroup.started(11, "a", "b", "c");
        g.startNewVm("d");
        awaitMembers(g, "a", "b", "c", "d");
        Member cutOff = g.mMembers.get("b");
        g.setIsolated("b", true);
        long stopped = g.mNowNanos;
        cutOff.terminate(GRACE);
        g.runUntil("end", () -> !cutOff.isRunning());
        assertThat(cutOff.mLeaveOutcome).hasValue(LeaveOutcome.TIMED_OUT);
        assertThat(Duration.ofNanos(g.mNowNanos - stopped))
                .isAtMost(GRACE.plus(Duration.ofMillis(100)));
        g.healAndCheckAcknowledged();
        awaitMembers(g, "a", "b", "c", "d");
    }

    /** A killed process shows itself by refused connections long before its silence counts. */
    @Test
    void aMemberWhoseVmRefusesConnectionsIsRemovedFromMoreThanThree() {
        SimulatedGroup g = SimulatedGroup.started(13, "a", "b", "c");
        g.startNewVm("d");
        awaitMembers(g, "a", "b", "c", "d");
        Member killed = g.mMembers.get(g.leader().orElseThrow().mVm.equals("c") ? "b" : "c");
        killed.kill();
        g.run(Duration.ofSeconds(1));
        assertThat(members(g)).doesNotContain(killed.mVm);
        g.healAndCheckAcknowledged();
        awaitMembers(g, "a", "b", "c", "d");
        killed.kill();
        Member other = g.mMembers.get(killed.mVm.equals("b") ? "c" : "b");
        g.runUntil("removed", () -> g.leader().isPresent() && members(g).size() == 3);
        other.kill();
        g.run(Duration.ofSeconds(10));
        assertThat(members(g)).hasSize(3);
    }

    @Test
    void anEvenGroupSplitInHalvesCommitsNothingUntilItHeals() {
        SimulatedGroup g = SimulatedGroup.started(9, "a", "b", "c");
        g.startNewVm("d");
        awaitMembers(g, "a", "b", "c", "d");
        g.commitOne();
        g.setIsolated("c", true);
        g.setIsolated("d", true);
        g.run(Duration.ofSeconds(6));
        assertThat(g.leader().map(l -> l.status().role()).orElse(null)).isNull();
        g.setIsolated("c", false);
        g.setIsolated("d", false);
        g.commitOne();
        g.healAndCheckAcknowledged();
    }
}
