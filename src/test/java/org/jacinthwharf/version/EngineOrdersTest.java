package org.jacinthwharf.version;

import static com.google.common.truth.Truth.assertThat;

import org.jacinthwharf.id.BackendServerId;
import org.junit.jupiter.api.Test;

/** Guards against orders of a previous owner that reach an engine after those of a later one. */
final class EngineOrdersTest {
    private static final long SECOND = 1_000_000_000L;
    private static final BackendServerId ENGINE = BackendServerId.of("engine-1");
    private static final EngineOrder OLD = order(1, 7, "version=v1");
    private static final EngineOrder NEW = order(2, 1, "version=v2");

    private static EngineOrder order(long term, long number, String target) {
        return new EngineOrder(ENGINE, new FencingToken(term, number), target, true);
    }

    @Test
    void oldTokenNeverReplacesNewOne() {
        EngineOrders orders = ordersOfOwner(0);
        orders.onTarget(NEW);
        orders.onTarget(OLD);
        assertThat(orders.due(SECOND, 9 * SECOND)).containsExactly(NEW);
        assertThat(orders.mayWrite(OLD, SECOND, 9 * SECOND)).isFalse();
    }

    /** Orders of the previous owner may arrive until its lease and then the timeout have ended. */
    @Test
    void newOwnerWaitsForLeaseAndTimeoutOfThePreviousOne() {
        EngineOrders orders = ordersOfOwner(2 * SECOND);
        orders.onTarget(NEW);
        assertThat(orders.due(3 * SECOND - 1, 9 * SECOND)).isEmpty();
        assertThat(orders.due(3 * SECOND, 9 * SECOND)).containsExactly(NEW);
    }

    /** A process paused between decision and write must not write if its lease ends too soon. */
    @Test
    void wokenOwnerWritesNothingWhenTheLeaseEndsBeforeTheTimeout() {
        EngineOrders orders = ordersOfOwner(0);
        orders.onTarget(NEW);
        assertThat(orders.due(SECOND, 3 * SECOND)).containsExactly(NEW);
        assertThat(orders.mayWrite(NEW, 2 * SECOND - 1, 3 * SECOND)).isTrue();
        assertThat(orders.mayWrite(NEW, 2 * SECOND, 3 * SECOND)).isFalse();
        assertThat(orders.mayWrite(NEW, SECOND, Long.MIN_VALUE)).isFalse();
    }

    /** An engine that ignores tokens may apply a stale order; its report triggers a retry. */
    @Test
    void engineThatObeyedOldOrderGetsTheCurrentOneAgain() {
        EngineOrders orders = ordersOfOwner(0);
        orders.onTarget(NEW);
        orders.onReported(ENGINE, "version=v2");
        assertThat(orders.due(SECOND, 9 * SECOND)).isEmpty();
        orders.onReported(ENGINE, "version=v1");
        assertThat(orders.due(2 * SECOND, 9 * SECOND)).containsExactly(NEW);
        assertThat(orders.due(2 * SECOND + 1, 9 * SECOND)).isEmpty();
        assertThat(orders.due(3 * SECOND, 9 * SECOND)).containsExactly(NEW);
    }

    /** An owner whose order was fenced must not compete with the newer owner. */
    @Test
    void fencedOrderIsNotRepeated() {
        EngineOrders orders = ordersOfOwner(0);
        orders.onTarget(OLD);
        orders.onFenced(OLD);
        assertThat(orders.due(SECOND, 9 * SECOND)).isEmpty();
        orders.onTarget(NEW);
        assertThat(orders.due(SECOND, 9 * SECOND)).containsExactly(NEW);
    }

    /** Guards the weight store against a higher rate or concurrency of loads than configured. */
    @Test
    void loadsStayBelowRateAndNumberAtOnce() {
        WeightStoreBucket bucket = new WeightStoreBucket(0.5, 2, 2, 0);
        assertThat(bucket.tryStart(new FencingToken(1, 1), 0)).isTrue();
        assertThat(bucket.tryStart(new FencingToken(1, 1), 0)).isTrue();
        assertThat(bucket.tryStart(new FencingToken(1, 2), 0)).isTrue();
        assertThat(bucket.tryStart(new FencingToken(1, 3), 9_000)).isFalse();
        bucket.end(new FencingToken(1, 1));
        assertThat(bucket.tryStart(new FencingToken(1, 3), 9_000)).isTrue();
        bucket.end(new FencingToken(1, 2));
        bucket.end(new FencingToken(1, 3));
        assertThat(bucket.tryStart(new FencingToken(1, 4), 9_000)).isTrue();
        bucket.end(new FencingToken(1, 4));
        assertThat(bucket.tryStart(new FencingToken(1, 5), 10_999)).isFalse();
        assertThat(bucket.tryStart(new FencingToken(1, 5), 11_000)).isTrue();
    }

    private static EngineOrders ordersOfOwner(long previousLeaseEnd) {
        EngineOrders orders = new EngineOrders();
        orders.onOwned(ENGINE, previousLeaseEnd);
        return orders;
    }
}
