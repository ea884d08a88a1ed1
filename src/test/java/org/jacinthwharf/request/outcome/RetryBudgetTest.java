package org.jacinthwharf.request.outcome;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against retry storms when backend servers fail. */
final class RetryBudgetTest {
    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1_000 * MILLISECOND;

    /** All requests fail all the time; the design allows 10% plus 3 retries per second. */
    @Property(seed = "20260413", tries = 300)
    void retriesStayWithinTenPercentOfRecentRequestsPlusThreePerSecond(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(max = 300) Integer> requestsPerSecond,
            @ForAll @IntRange(min = -30, max = 30) int startSecond) {
        long start = startSecond * SECOND;
        RetryBudget budget = new RetryBudget(start);
        int n = requestsPerSecond.size();
        int[] requests = new int[n];
        int[] retries = new int[n];
        for (int second = 0; second < n; second++) {
            for (int ms = 0; ms < 1_000; ms += 10) {
                long nowNanos = start + second * SECOND + ms * MILLISECOND;
                for (int r = 0; r < requestsPerSecond.get(second) / 100 + 1; r++) {
                    budget.onRequest(nowNanos);
                    requests[second]++;
                }
                while (retries[second] < 10_000 && budget.tryRetry(nowNanos)) {
                    retries[second]++;
                }
            }
        }
        for (int from = 0; from < n; from++) {
            int retryCount = 0;
            int requestCount = 0;
            for (int i = Math.max(0, from - 10); i < from; i++) {
                requestCount += requests[i];
            }
            for (int to = from; to < n; to++) {
                retryCount += retries[to];
                requestCount += requests[to];
                int seconds = to - from + 1;
                assertWithMessage("retries in the seconds %s to %s", from, to)
                        .that(retryCount)
                        .isAtMost(requestCount / 10 + 3 * (seconds + 1));
            }
        }
    }

    /** A budget that is never refilled would make every failure final. */
    @Test
    void quietRouterGetsThreeRetriesPerSecondAndSavesNone() {
        RetryBudget budget = new RetryBudget(-20 * SECOND);
        for (int i = 0; i < 1_000; i++) {
            budget.onRequest(-20 * SECOND);
        }
        for (long nowNanos : new long[] {0, SECOND, 60 * SECOND}) {
            int granted = 0;
            while (granted < 100 && budget.tryRetry(nowNanos)) {
                granted++;
            }
            assertWithMessage("retries at %s", nowNanos).that(granted).isEqualTo(3);
        }
    }
}
