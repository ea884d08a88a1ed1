package org.jacinthwharf.request.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.jacinthwharf.wire.generated.ServerLoad;
import org.junit.jupiter.api.Test;

/**
 * Guards against a gateway whose processor is busy with requests that cannot be placed anyway, so
 * that it reads tables, answers and closed connections seconds late.
 */
final class DispatchCostTest {
    private static final int ENGINES = 80;
    private static final int WAITING = 200;

    private final DispatchScenario mScenario = new DispatchScenario();

    /** Fills all engines, then queues requests of 20 customers. */
    private void overload() {
        mScenario.addEngines(ENGINES);
        List<ServerLoad> others = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            others.add(ServerLoad.newBuilder().setServer("e" + i).setRunning(20).build());
        }
        mScenario.mServerTable.setOtherGatewaysLoad(others);
        int request = 0;
        while (mScenario.mDispatcher.waiting() < WAITING) {
            String id = "r" + request++;
            mScenario.submit(
                    mScenario.engineRequest(id, "c" + request % 20, id + "-subject", 0, 12_000));
        }
        mScenario.mVersionChecks = 0;
    }

    @Test
    void waitingRequestsAreNotComparedWithServersWhileAllServersAreFull() {
        overload();
        mScenario.recordActions(mScenario.mDispatcher.dispatchWaiting(mScenario.mNow));
        assertThat(mScenario.mVersionChecks).isEqualTo(0);
    }

    @Test
    void requestsThatWaitForTheirEngineAreTriedOnceHoweverManyOthersArePlaced() {
        overload();
        for (int i = 0; i < 40; i++) {
            String id = "stuck" + i;
            mScenario.submit(mScenario.engineRequest(id, "stuck" + i, "subject", 6_000, 6_000));
        }
        int waiting = mScenario.mDispatcher.waiting();
        int placed = mScenario.mPlaced.size();
        for (Placement p : mScenario.mPlacements.subList(0, 20)) {
            p.onFirstEvent(mScenario.mNow);
        }
        mScenario.recordActions(mScenario.mDispatcher.dispatchWaiting(mScenario.mNow));
        assertThat(mScenario.mPlaced.size()).isGreaterThan(placed + 10);
        assertThat(mScenario.mVersionChecks).isAtMost(waiting);
    }
}
