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
