package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;
import static org.jacinthwharf.process.control.Commands.apply;

import com.google.protobuf.ByteString;
import java.util.List;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.version.EvidenceAggregator;
import org.jacinthwharf.version.MoveSupervisor;
import org.jacinthwharf.version.VersionSplit;
import org.jacinthwharf.wire.generated.ClaimOutcome;
import org.jacinthwharf.wire.generated.ClaimRequest;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.CommandReply;
import org.jacinthwharf.wire.generated.CommandResult;
import org.jacinthwharf.wire.generated.ControlSnapshot;
import org.jacinthwharf.wire.generated.MovePhase;
import org.jacinthwharf.wire.generated.MoveStep;
import org.jacinthwharf.wire.generated.VersionMove;
import org.junit.jupiter.api.Test;

/** Guards G11 in the replicated state: no lost, doubled or silently overwritten change. */
final class ControlStateMachineTest {
    private final ControlStateMachine mState = new ControlStateMachine(new InMemoryClaims());

    /** Guards against one operator overwriting another's change without noticing. */
    @Test
    void secondChangeOnTheSameRevisionConflictsAndChangesNothing() {
        apply(mState, Commands.customer("c0", "alpha", 1));

        CommandReply first =
                apply(mState, Commands.customer("c1", "alpha", 2).setBasedOnRevision(1));
        CommandReply second =
                apply(mState, Commands.customer("c2", "alpha", 3).setBasedOnRevision(1));

        assertThat(first.getResult()).isEqualTo(CommandResult.APPLIED);
        assertThat(second.getResult()).isEqualTo(CommandResult.CONFLICT);
        assertThat(second.getRevision()).isEqualTo(2);
        assertThat(mState.configuration().getCustomers(0).getWeight()).isEqualTo(2.0);
    }

    /** Guards against a resent command taking effect twice, or undoing a later change. */
    @Test
    void repeatedCommandIdReturnsTheFirstReplyAndChangesNothing() {
        CommandReply first = apply(mState, Commands.customer("c1", "alpha", 1));
        apply(mState, Commands.customer("c2", "alpha", 5));

        CommandReply repeated = apply(mState, Commands.customer("c1", "alpha", 1));

        assertThat(repeated).isEqualTo(first);
        assertThat(mState.revision()).isEqualTo(2);
        assertThat(mState.configuration().getCustomers(0).getWeight()).isEqualTo(5.0);
    }

    /** Guards against invalid orders being accepted, for example a misspelt failure domain. */
    @Test
    void invalidCommandIsRefusedWithoutNewRevision() {
        apply(mState, Commands.model("m0", "m", "v1"));
        apply(mState, Commands.move("m1", "m", "v2", Commands.NOW + 1));
        apply(mState, Commands.failureDomain("f1", "fd1", "r1", true));

        List<Command.Builder> invalid =
                List.of(
                        Commands.failureDomain("i0", "fd1", "r1", false),
                        Commands.failureDomain("i1", "typo", "", true),
                        Commands.customer("i2", "alpha", 0),
                        Commands.customer("i3", "alpha", Double.NaN),
                        Commands.move("i4", "m", "v3", Commands.NOW + 1),
                        Commands.move("i5", "n", "v3", Commands.NOW + 1),
                        Commands.model("i6", "m", "v9"),
                        Command.newBuilder().setCommandId("i7"));
        for (Command.Builder c : invalid) {
            CommandReply reply = apply(mState, c);
            assertThat(reply.getResult()).isEqualTo(CommandResult.INVALID);
            assertThat(reply.getDetail()).isNotEmpty();
        }
        assertThat(mState.revision()).isEqualTo(3);
    }

    /** Guards against a move that could never end in time. */
    @Test
    void moveWithDeadlineInThePastIsRefused() {
        apply(mState, Commands.model("m0", "m", "v1"));
        CommandReply reply = apply(mState, Commands.move("m1", "m", "v2", Commands.NOW));
        assertThat(reply.getDetail()).isEqualTo("the deadline is in the past");
    }

    /**
     * Guards G5 from the first request on: a bad version must get nothing before there is a
     * reference to judge it by, and at most 5% as a canary.
     */
    @Test
    void newVersionGetsNothingUntilTheSupervisorStartsItsCanary() {
        apply(mState, Commands.model("m0", "m", "v1"));
        apply(mState, Commands.move("m1", "m", "v2", Commands.NOW + 100_000));
        VersionMove started = mState.configuration().getModels(0).getMove();
        VersionSplit split = new VersionSplit();
        for (int i = 0; i < 1_000; i++) {
            VersionSplit.RouteState idle = new VersionSplit.RouteState(false, i, 0, true);
            assertThat(split.choose(RequestId.of("r" + i), "tags", started, idle)).isEqualTo("v1");
        }

        MoveSupervisor supervisor = new MoveSupervisor(new EvidenceAggregator(Commands.NOW));
        assertThat(supervisor.onTick(mState.configuration(), Commands.NOW + 1_000, 0)).isEmpty();
        supervisor
                .onTick(mState.configuration(), Commands.NOW + 5_000, 0)
                .forEach(s -> apply(mState, Command.newBuilder().setMoveStep(s)));

        VersionMove canary = mState.configuration().getModels(0).getMove();
        assertThat(canary.getPhase()).isEqualTo(MovePhase.CANARY);
        assertThat(canary.getShareBasisPoints()).isEqualTo(500);
        assertThat(apply(mState, step(MovePhase.CANARY, 501)).getResult())
                .isEqualTo(CommandResult.INVALID);
    }

    /** Guards against a late step of an old leader that revives a rolled back version. */
    @Test
    void stepAfterRollbackIsRefused() {
        apply(mState, Commands.model("m0", "m", "v1"));
        apply(mState, Commands.move("m1", "m", "v2", Commands.NOW + 1));
        apply(mState, step(MovePhase.ROLLED_BACK, 0));

        CommandReply late = apply(mState, step(MovePhase.RAMP, 5_000));

        assertThat(late.getResult()).isEqualTo(CommandResult.INVALID);
        assertThat(apply(mState, step(MovePhase.MISSED_DEADLINE, 0)).getResult())
                .isEqualTo(CommandResult.INVALID);
        assertThat(mState.configuration().getModels(0).getMove().getShareBasisPoints())
                .isEqualTo(0);
        assertThat(mState.configuration().getModels(0).getCurrentVersion()).isEqualTo("v1");
    }

    /** Guards against state that a snapshot forgets: entries, replies or claims. */
    @Test
    void restoredStateEqualsTheStateBefore() {
        CommandReply first = apply(mState, Commands.failureDomain("f1", "fd1", "r1", false));
        apply(mState, Commands.model("m0", "m", "v1"));
        apply(mState, Commands.move("m1", "m", "v2", Commands.NOW + 1));
        CommandReply granted = apply(mState, claim("claim-1"));
        ByteString before = mState.snapshot();

        ControlStateMachine restored = new ControlStateMachine(new InMemoryClaims());
        apply(restored, Commands.customer("old", "left-over", 1));
        restored.restore(before);

        assertThat(restored.snapshot()).isEqualTo(before);
        assertThat(restored.configuration()).isEqualTo(mState.configuration());
        assertThat(apply(restored, Commands.failureDomain("f1", "fd1", "r1", false)))
                .isEqualTo(first);
        assertThat(apply(restored, claim("claim-1"))).isEqualTo(granted);
        assertThat(apply(restored, claim("claim-2")).getClaim().getOutcome())
                .isEqualTo(ClaimOutcome.CLAIM_IN_PROGRESS);
    }

    /**
     * Guards G8: a leader with a wall clock 24 h ahead, or one that jumps, must not make claims
     * expire early; and claims must still expire by the leader's own clock.
     */
    @Test
    void wallClockOfLeaderMovesTheTimeOfClaimsByAtMostOneMinute() {
        long day = 24 * 60 * 60 * 1_000L;
        ClaimClock clock = new ClaimClock();
        assertThat(clock.advance(at(1, Commands.NOW, 500))).isEqualTo(Commands.NOW);
        assertThat(clock.advance(at(1, Commands.NOW + day, 700))).isEqualTo(Commands.NOW + 200);
        assertThat(clock.advance(at(2, Commands.NOW + day, 9_000)))
                .isEqualTo(Commands.NOW + 60_200);
        assertThat(clock.advance(at(2, Commands.NOW + day, 10_000)))
                .isEqualTo(Commands.NOW + 61_200);
        assertThat(clock.advance(at(2, 0, 9_500))).isEqualTo(Commands.NOW + 61_200);
        assertThat(clock.advance(at(3, 0, 1))).isEqualTo(Commands.NOW + 61_200);
        ControlSnapshot.Builder snapshot = ControlSnapshot.newBuilder();
        clock.addTo(snapshot);
        ClaimClock restored = new ClaimClock();
        restored.restore(snapshot.build());
        assertThat(restored.advance(at(3, 0, 101))).isEqualTo(Commands.NOW + 61_300);
        assertThat(clock.advance(at(3, 0, 1 + day))).isEqualTo(Commands.NOW + 61_200 + day);
    }

    private static Command at(long term, long wallMillis, long uptimeMillis) {
        return Command.newBuilder()
                .setLeaderTerm(term)
                .setNowMillis(wallMillis)
                .setLeaderUptimeMillis(uptimeMillis)
                .build();
    }

    /** Guards against claims that count as configuration changes or displace kept replies. */
    @Test
    void claimsLeaveRevisionAndKeptRepliesAlone() {
        CommandReply first = apply(mState, Commands.customer("c1", "alpha", 1));
        for (int i = 0; i <= ControlStateMachine.KEPT_REPLIES; i++) {
            apply(mState, claim("claim-" + i));
        }
        assertThat(mState.revision()).isEqualTo(1);
        assertThat(apply(mState, Commands.customer("c1", "alpha", 1))).isEqualTo(first);
        assertThat(mState.revision()).isEqualTo(1);
    }

    private static Command.Builder step(MovePhase phase, int share) {
        return Command.newBuilder()
                .setMoveStep(
                        MoveStep.newBuilder()
                                .setModel("m")
                                .setMoveId("m1")
                                .setPhase(phase)
                                .setShareBasisPoints(share));
    }

    private static Command.Builder claim(String claimId) {
        return Command.newBuilder()
                .setNowMillis(Commands.NOW)
                .setClaim(
                        ClaimRequest.newBuilder()
                                .setClaimId(claimId)
                                .setCustomer("alpha")
                                .setRequestKey("k")
                                .setTimeoutMillis(1_000));
    }
}
