package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;
import static org.jacinthwharf.process.control.TestCommands.apply;

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

/** Changes of the replicated state (G11): none is lost, applied twice or silently overwritten. */
final class ControlStateMachineTest {
    private final ControlStateMachine mState = new ControlStateMachine(new InMemoryClaims());

    /** Guards against one operator overwriting another's change unknowingly. */
    @Test
    void secondChangeOnTheSameRevisionConflictsAndChangesNothing() {
        apply(mState, TestCommands.customer("c0", "alpha", 1));

        CommandReply first =
                apply(mState, TestCommands.customer("c1", "alpha", 2).setBasedOnRevision(1));
        CommandReply second =
                apply(mState, TestCommands.customer("c2", "alpha", 3).setBasedOnRevision(1));

        assertThat(first.getResult()).isEqualTo(CommandResult.APPLIED);
        assertThat(second.getResult()).isEqualTo(CommandResult.CONFLICT);
        assertThat(second.getRevision()).isEqualTo(2);
        assertThat(mState.configuration().getCustomers(0).getWeight()).isEqualTo(2.0);
    }

    /** Guards against a retried command that is applied twice, or reverts a later change. */
    @Test
    void repeatedCommandIdReturnsTheFirstReplyAndChangesNothing() {
        CommandReply first = apply(mState, TestCommands.customer("c1", "alpha", 1));
        apply(mState, TestCommands.customer("c2", "alpha", 5));

        CommandReply repeated = apply(mState, TestCommands.customer("c1", "alpha", 1));

        assertThat(repeated).isEqualTo(first);
        assertThat(mState.revision()).isEqualTo(2);
        assertThat(mState.configuration().getCustomers(0).getWeight()).isEqualTo(5.0);
    }

    /** Guards against "applied" for a command that was not, since its id was used for another. */
    @Test
    void usedCommandIdIsNotAcknowledgedForAnotherCommand() {
        apply(mState, TestCommands.customer("c1", "alpha", 1));
        CommandReply other = apply(mState, TestCommands.customer("c1", "alpha", 5));
        assertThat(other.getResult()).isNotEqualTo(CommandResult.APPLIED);
    }

    /** Guards against a repeated command that is taken for another one. */
    @Test
    void repeatedCommandWithAnotherTimeAndRevisionReturnsFirstReply() {
        CommandReply first = apply(mState, TestCommands.customer("c1", "alpha", 1).setNowMillis(1));
        CommandReply repeated =
                apply(
                        mState,
                        TestCommands.customer("c1", "alpha", 1)
                                .setNowMillis(2)
                                .setBasedOnRevision(1));
        assertThat(repeated).isEqualTo(first);
    }

    /** Guards against a member that forgets with a snapshot which command had an id. */
    @Test
    void usedCommandIdIsRefusedAfterRestoreUnlessTheSnapshotHoldsNoHash() throws Exception {
        CommandReply first = apply(mState, TestCommands.customer("c1", "alpha", 1));
        ControlSnapshot snapshot = ControlSnapshot.parseFrom(mState.snapshot());

        mState.restore(snapshot.toByteString());
        CommandReply other = apply(mState, TestCommands.customer("c1", "alpha", 5));
        assertThat(other.getResult()).isEqualTo(CommandResult.INVALID);
        assertThat(other.getDetail()).isNotEmpty();
        assertThat(apply(mState, TestCommands.customer("c1", "alpha", 1))).isEqualTo(first);

        ControlSnapshot.Builder earlierRelease = snapshot.toBuilder();
        earlierRelease.getRepliesBuilderList().forEach(CommandReply.Builder::clearCommandHash);
        mState.restore(earlierRelease.build().toByteString());
        CommandReply reply = apply(mState, TestCommands.customer("c1", "alpha", 5));
        assertThat(reply.getResult()).isEqualTo(CommandResult.APPLIED);
        assertThat(mState.revision()).isEqualTo(1);
    }

    /** Guards against accepting invalid commands, for example with a misspelt failure domain. */
    @Test
    void invalidCommandIsRefusedWithoutNewRevision() {
        apply(mState, TestCommands.model("m0", "m", "v1"));
        apply(mState, TestCommands.move("m1", "m", "v2", TestCommands.NOW + 1));
        apply(mState, TestCommands.failureDomain("f1", "fd1", "r1", true));

        List<Command.Builder> invalid =
                List.of(
                        TestCommands.failureDomain("i0", "fd1", "r1", false),
                        TestCommands.failureDomain("i1", "typo", "", true),
                        TestCommands.customer("i2", "alpha", 0),
                        TestCommands.customer("i3", "alpha", Double.NaN),
                        TestCommands.move("i4", "m", "v3", TestCommands.NOW + 1),
                        TestCommands.move("i5", "n", "v3", TestCommands.NOW + 1),
                        TestCommands.model("i6", "m", "v9"),
                        Command.newBuilder().setCommandId("i7"));
        for (Command.Builder c : invalid) {
            CommandReply reply = apply(mState, c);
            assertThat(reply.getResult()).isEqualTo(CommandResult.INVALID);
            assertThat(reply.getDetail()).isNotEmpty();
        }
        assertThat(mState.revision()).isEqualTo(3);
    }

    /** Guards against a move that cannot meet its deadline. */
    @Test
    void moveWithDeadlineInThePastIsRefused() {
        apply(mState, TestCommands.model("m0", "m", "v1"));
        CommandReply reply = apply(mState, TestCommands.move("m1", "m", "v2", TestCommands.NOW));
        assertThat(reply.getDetail()).isEqualTo("the deadline is in the past");
    }

    /**
     * A new version must get no requests before there is a baseline to compare it with, and at most
     * 5% as a canary (G5).
     */
    @Test
    void newVersionGetsNoRequestsUntilTheSupervisorStartsItsCanary() {
        apply(mState, TestCommands.model("m0", "m", "v1"));
        apply(mState, TestCommands.move("m1", "m", "v2", TestCommands.NOW + 100_000));
        VersionMove started = mState.configuration().getModels(0).getMove();
        VersionSplit split = new VersionSplit();
        for (int i = 0; i < 1_000; i++) {
            VersionSplit.RouteState idle = new VersionSplit.RouteState(false, i, 0, true);
            assertThat(split.choose(RequestId.of("r" + i), "tags", started, idle)).isEqualTo("v1");
        }

        MoveSupervisor supervisor = new MoveSupervisor(new EvidenceAggregator(TestCommands.NOW));
        assertThat(supervisor.onTick(mState.configuration(), TestCommands.NOW + 1_000, 0))
                .isEmpty();
        supervisor
                .onTick(mState.configuration(), TestCommands.NOW + 5_000, 0)
                .forEach(s -> apply(mState, Command.newBuilder().setMoveStep(s)));

        VersionMove canary = mState.configuration().getModels(0).getMove();
        assertThat(canary.getPhase()).isEqualTo(MovePhase.CANARY);
        assertThat(canary.getShareBasisPoints()).isEqualTo(500);
        assertThat(apply(mState, step(MovePhase.CANARY, 501)).getResult())
                .isEqualTo(CommandResult.INVALID);
    }

    /**
     * Guards against a delayed step of an earlier leader that resumes a move that was rolled back.
     */
    @Test
    void stepAfterRollbackIsRefused() {
        apply(mState, TestCommands.model("m0", "m", "v1"));
        apply(mState, TestCommands.move("m1", "m", "v2", TestCommands.NOW + 1));
        apply(mState, step(MovePhase.ROLLED_BACK, 0));

        CommandReply late = apply(mState, step(MovePhase.RAMP, 5_000));

        assertThat(late.getResult()).isEqualTo(CommandResult.INVALID);
        assertThat(apply(mState, step(MovePhase.MISSED_DEADLINE, 0)).getResult())
                .isEqualTo(CommandResult.INVALID);
        assertThat(mState.configuration().getModels(0).getMove().getShareBasisPoints())
                .isEqualTo(0);
        assertThat(mState.configuration().getModels(0).getCurrentVersion()).isEqualTo("v1");
    }

    /** Guards against state that is missing in a snapshot: entries, replies or claims. */
    @Test
    void restoredStateEqualsTheStateOfTheSnapshot() {
        CommandReply first = apply(mState, TestCommands.failureDomain("f1", "fd1", "r1", false));
        apply(mState, TestCommands.model("m0", "m", "v1"));
        apply(mState, TestCommands.move("m1", "m", "v2", TestCommands.NOW + 1));
        CommandReply granted = apply(mState, claim("claim-1"));
        ByteString snapshot = mState.snapshot();

        ControlStateMachine restored = new ControlStateMachine(new InMemoryClaims());
        apply(restored, TestCommands.customer("old", "left-over", 1));
        restored.restore(snapshot);

        assertThat(restored.snapshot()).isEqualTo(snapshot);
        assertThat(restored.configuration()).isEqualTo(mState.configuration());
        assertThat(apply(restored, TestCommands.failureDomain("f1", "fd1", "r1", false)))
                .isEqualTo(first);
        assertThat(apply(restored, claim("claim-1"))).isEqualTo(granted);
        assertThat(apply(restored, claim("claim-2")).getClaim().getOutcome())
                .isEqualTo(ClaimOutcome.CLAIM_IN_PROGRESS);
    }

    /**
     * A leader whose wall clock is 24 h ahead, or jumps, must not make claims expire early; claims
     * must still expire by the leader's monotonic clock (G8).
     */
    @Test
    void wallClockOfNewLeaderAdvancesTheClaimClockByAtMostOneMinute() {
        long day = 24 * 60 * 60 * 1_000L;
        ClaimClock clock = new ClaimClock();
        assertThat(clock.advance(at(1, TestCommands.NOW, 500))).isEqualTo(TestCommands.NOW);
        assertThat(clock.advance(at(1, TestCommands.NOW + day, 700)))
                .isEqualTo(TestCommands.NOW + 200);
        assertThat(clock.advance(at(2, TestCommands.NOW + day, 9_000)))
                .isEqualTo(TestCommands.NOW + 60_200);
        assertThat(clock.advance(at(2, TestCommands.NOW + day, 10_000)))
                .isEqualTo(TestCommands.NOW + 61_200);
        assertThat(clock.advance(at(2, 0, 9_500))).isEqualTo(TestCommands.NOW + 61_200);
        assertThat(clock.advance(at(3, 0, 1))).isEqualTo(TestCommands.NOW + 61_200);
        ControlSnapshot.Builder snapshot = ControlSnapshot.newBuilder();
        clock.addTo(snapshot);
        ClaimClock restored = new ClaimClock();
        restored.restore(snapshot.build());
        assertThat(restored.advance(at(3, 0, 101))).isEqualTo(TestCommands.NOW + 61_300);
        assertThat(clock.advance(at(3, 0, 1 + day))).isEqualTo(TestCommands.NOW + 61_200 + day);
    }

    private static Command at(long term, long wallMillis, long uptimeMillis) {
        return Command.newBuilder()
                .setLeaderTerm(term)
                .setNowMillis(wallMillis)
                .setLeaderUptimeMillis(uptimeMillis)
                .build();
    }

    /** Guards against claims that increment the revision or evict retained replies. */
    @Test
    void claimsChangeNeitherTheRevisionNorRetainedReplies() {
        CommandReply first = apply(mState, TestCommands.customer("c1", "alpha", 1));
        for (int i = 0; i <= ControlStateMachine.MAX_RETAINED_REPLIES; i++) {
            apply(mState, claim("claim-" + i));
        }
        assertThat(mState.revision()).isEqualTo(1);
        assertThat(apply(mState, TestCommands.customer("c1", "alpha", 1))).isEqualTo(first);
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
                .setNowMillis(TestCommands.NOW)
                .setClaim(
                        ClaimRequest.newBuilder()
                                .setClaimId(claimId)
                                .setCustomer("alpha")
                                .setRequestKey("k")
                                .setTimeoutMillis(1_000));
    }
}
