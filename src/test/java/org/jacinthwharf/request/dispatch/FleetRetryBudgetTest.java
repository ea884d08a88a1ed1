package org.jacinthwharf.request.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards the bound on repeats of all gateways together. */
final class FleetRetryBudgetTest {
    private static final long SECOND = 1_000_000_000L;

    // Guards against repeats that multiply the load when backend servers fail.
    @Test
    void repeatsOfAllGatewaysStayBelowRatioAndSlackInEveryWindow() {
        int gateways = 7;
        int repeats = 0;
        for (int g = 0; g < gateways; g++) {
            FleetRetryBudget budget = new FleetRetryBudget(0.2, 52, 10 * SECOND);
            budget.setGateways(gateways);
            for (int i = 0; i < 100; i++) {
                long now = i * SECOND / 10;
                budget.onRequest("s", now);
                repeats += budget.tryRepeat("s", now) ? 1 : 0;
            }
        }
        assertThat(repeats).isAtMost((int) (0.2 * 700 + 52));
        assertThat(repeats).isGreaterThan(50);
    }

    // Guards against a partition in which each side uses the whole budget.
    @Test
    void losingSightOfGatewaysDoesNotRaiseThePart() {
        FleetRetryBudget budget = new FleetRetryBudget(0, 70, 10 * SECOND);
        budget.setGateways(7);
        budget.setGateways(1);
        int repeats = 0;
        for (int i = 0; i < 100; i++) {
            repeats += budget.tryRepeat("s", 0) ? 1 : 0;
        }
        assertThat(repeats).isAtMost(10);
    }
}
