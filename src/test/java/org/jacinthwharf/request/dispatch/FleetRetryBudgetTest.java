package org.jacinthwharf.request.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the bound on the retries of all gateways together. */
final class FleetRetryBudgetTest {
    private static final long SECOND = 1_000_000_000L;

    // Guards against retries that multiply the load when backend servers fail.
    @Test
    void retriesOfAllGatewaysStayBelowRatioAndSlackInEveryWindow() {
        int gateways = 7;
        int retries = 0;
        for (int g = 0; g < gateways; g++) {
            FleetRetryBudget budget = new FleetRetryBudget(0.2, 52, 10 * SECOND);
            budget.setGateways(gateways);
            for (int i = 0; i < 100; i++) {
                long now = i * SECOND / 10;
                budget.onRequest("s", now);
                retries += budget.tryRetry("s", now) ? 1 : 0;
            }
        }
        assertThat(retries).isAtMost((int) (0.2 * 700 + 52));
        assertThat(retries).isGreaterThan(50);
    }

    // Guards against each side of a partition using the whole budget.
    @Test
    void losingContactWithGatewaysDoesNotRaiseTheFraction() {
        FleetRetryBudget budget = new FleetRetryBudget(0, 70, 10 * SECOND);
        budget.setGateways(7);
        budget.setGateways(1);
        int retries = 0;
        for (int i = 0; i < 100; i++) {
            retries += budget.tryRetry("s", 0) ? 1 : 0;
        }
        assertThat(retries).isAtMost(10);
    }
}
