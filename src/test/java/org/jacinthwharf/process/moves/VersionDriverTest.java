package org.jacinthwharf.process.moves;

import static com.google.common.truth.Truth.assertThat;

import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.MovePhase;
import org.jacinthwharf.wire.generated.VersionMove;
import org.junit.jupiter.api.Test;

/** Guards against retries that reach a new version whose move is not done. */
final class VersionDriverTest {
    private static Model model(MovePhase phase, String current) {
        return Model.newBuilder()
                .setId("granite")
                .setCurrentVersion(current)
                .setMove(
                        VersionMove.newBuilder()
                                .setId("m")
                                .setFromVersion("v1")
                                .setToVersion("v2")
                                .setShareBasisPoints(10_000)
                                .setPhase(phase))
                .build();
    }

    private static String retryVersion(Model model) {
        return VersionDriver.chooseForRetry(model).version().value();
    }

    @Test
    void retriesUseTheOldVersionUntilTheMoveIsDone() {
        assertThat(retryVersion(model(MovePhase.CANARY, "v1"))).isEqualTo("v1");
        assertThat(retryVersion(model(MovePhase.WATCH, "v1"))).isEqualTo("v1");
        assertThat(retryVersion(model(MovePhase.ROLLED_BACK, "v1"))).isEqualTo("v1");
        assertThat(retryVersion(model(MovePhase.DONE, "v2"))).isEqualTo("v2");
        assertThat(retryVersion(Model.newBuilder().setId("g").setCurrentVersion("v1").build()))
                .isEqualTo("v1");
    }
}
