package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.MovePhase;
import org.jacinthwharf.wire.generated.MoveStep;
import org.jacinthwharf.wire.generated.RejectedVersion;
import org.jacinthwharf.wire.generated.VersionMove;
import org.junit.jupiter.api.Test;

/** Guards against a rolled-back version that is forgotten while its servers run. */
final class RejectedVersionsTest {
    private final ControlStateMachine mState = new ControlStateMachine(new InMemoryClaims());
    private long mIndex;

    private void apply(Command.Builder command) {
        mState.apply(++mIndex, command.setCommandId("c" + mIndex).build().toByteString());
    }

    private Model model() {
        return mState.configuration().getModels(0);
    }

    private List<String> rejected() {
        return model().getRejectedVersionsList();
    }

    private void createModel() {
        apply(
                Command.newBuilder()
                        .setPutModel(Model.newBuilder().setId("n").setCurrentVersion("initial")));
    }

    private void order(String version) {
        apply(
                Command.newBuilder()
                        .setNowMillis(mIndex)
                        .setStartMove(
                                VersionMove.newBuilder()
                                        .setModel("n")
                                        .setToVersion(version)
                                        .setDeadlineMillis(mIndex + 10_000)));
    }

    private void end(MovePhase phase) {
        apply(
                Command.newBuilder()
                        .setNowMillis(mIndex)
                        .setMoveStep(
                                MoveStep.newBuilder()
                                        .setModel("n")
                                        .setMoveId(model().getMove().getId())
                                        .setPhase(phase)));
    }

    private void rollBack(String version) {
        order(version);
        end(MovePhase.ROLLED_BACK);
    }

    @Test
    void versionsStayRejectedWhileOthersAreOrdered() {
        createModel();
        rollBack("v2");
        order("v3");
        end(MovePhase.MISSED_DEADLINE);
        order("v4");
        assertThat(rejected()).containsExactly("v2", "v3").inOrder();
        end(MovePhase.DONE);
        assertThat(rejected()).containsExactly("v2", "v3").inOrder();
    }

    @Test
    void versionThatIsOrderedAgainIsTargetLikeAnyOther() {
        createModel();
        rollBack("v2");
        rollBack("v3");
        order("v2");
        assertThat(rejected()).containsExactly("v3");
        end(MovePhase.ROLLED_BACK);
        assertThat(rejected()).containsExactly("v3", "v2").inOrder();
    }

    @Test
    void rejectedVersionsOutliveSnapshots() {
        createModel();
        rollBack("v2");
        ControlStateMachine restored = new ControlStateMachine(new InMemoryClaims());
        restored.restore(mState.snapshot());
        assertThat(restored.configuration().getModels(0).getRejectedVersionsList())
                .containsExactly("v2");
    }

    @Test
    void rejectedVersionsAreBounded() {
        createModel();
        for (int i = 0; i < 50; i++) {
            rollBack("v" + i);
        }
        assertThat(rejected()).hasSize(RejectedVersions.MAX_VERSIONS);
        assertThat(rejected()).contains("v49");
    }

    @Test
    void versionIsForgottenOnceNoServerHasRunItForLong() {
        createModel();
        rollBack("v2");
        rollBack("v3");
        Set<String> running = new HashSet<>(Set.of("v2", "v3"));
        RejectedVersionExpiry expiry =
                new RejectedVersionExpiry((model, version) -> running.contains(version));
        Configuration configuration = mState.configuration();
        long absence = RejectedVersionExpiry.ABSENCE.toNanos();
        assertThat(expiry.expired(configuration, 0)).isEmpty();
        running.remove("v2");
        assertThat(expiry.expired(configuration, 1)).isEmpty();
        assertThat(expiry.expired(configuration, absence)).isEmpty();
        RejectedVersion v2 = RejectedVersion.newBuilder().setModel("n").setVersion("v2").build();
        assertThat(expiry.expired(configuration, absence + 1)).containsExactly(v2);
        apply(Command.newBuilder().setForgetVersion(v2));
        assertThat(rejected()).containsExactly("v3");
    }

    @Test
    void serverThatIsBackStartsItsAbsenceAnew() {
        createModel();
        rollBack("v2");
        Set<String> running = new HashSet<>();
        RejectedVersionExpiry expiry =
                new RejectedVersionExpiry((model, version) -> running.contains(version));
        Configuration configuration = mState.configuration();
        expiry.expired(configuration, 0);
        running.add("v2");
        expiry.expired(configuration, Duration.ofMinutes(5).toNanos());
        running.clear();
        expiry.expired(configuration, Duration.ofMinutes(6).toNanos());
        assertThat(expiry.expired(configuration, Duration.ofMinutes(11).toNanos())).isEmpty();
    }
}
