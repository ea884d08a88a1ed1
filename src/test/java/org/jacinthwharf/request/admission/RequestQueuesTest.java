package org.jacinthwharf.request.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.junit.jupiter.api.Test;

/**
 * Guards against unbounded queues and against requests that wait although they cannot meet their
 * deadline.
 */
final class RequestQueuesTest {
    private static final CustomerId A = CustomerId.of("a");
    private static final CustomerId B = CustomerId.of("b");

    private final ServiceLedger mLedger = new ServiceLedger("r0/1", 1);
    private final RequestQueues<String> mQueues =
            new RequestQueues<>(new QueueLimits(20, 30), mLedger);

    private Optional<RefusalReason> offer(CustomerId customer, long now, long deadline) {
        return mQueues.enqueue(
                new QueuedRequest<>(customer, Fleet.POOL, 1, now, deadline, "r"), now);
    }

    @Test
    void queuesAreBoundedPerCustomerAndInTotal() {
        for (int i = 0; i < 20; i++) {
            assertThat(offer(A, 0, 1_000)).isEqualTo(Optional.empty());
        }
        assertThat(offer(A, 0, 1_000)).isEqualTo(Optional.of(RefusalReason.CUSTOMER_QUEUE_FULL));
        for (int i = 0; i < 10; i++) {
            assertThat(offer(B, 0, 1_000)).isEqualTo(Optional.empty());
        }
        assertThat(offer(B, 0, 1_000)).isEqualTo(Optional.of(RefusalReason.QUEUE_FULL));
        assertThat(mQueues.waiting()).isEqualTo(30);
    }

    /**
     * Guards against requests that expire in the queue, and against refusals caused by another
     * customer's queue.
     */
    @Test
    void requestWhoseDeadlineIsShorterThanTheWaitOfItsOwnQueueIsRefused() {
        List<QueuedRequest<String>> expired = new ArrayList<>();
        for (int i = 0; i < 18; i++) {
            offer(A, 0, 10_000);
        }
        // After 8 starts, one per 100 ns, 10 requests remain, which take 1,000 ns.
        for (int i = 1; i <= 8; i++) {
            assertThat(mQueues.next(Fleet.POOL, 100 * i, w -> 0, expired).isPresent()).isTrue();
        }
        assertThat(offer(A, 800, 800 + 900))
                .isEqualTo(Optional.of(RefusalReason.DEADLINE_UNREACHABLE));
        assertThat(offer(A, 800, 800 + 1_100)).isEqualTo(Optional.empty());
        assertThat(offer(B, 800, 800 + 100)).isEqualTo(Optional.empty());
    }

    @Test
    void requestPastItsDeadlineIsNeitherStartedNorKept() {
        List<QueuedRequest<String>> expired = new ArrayList<>();
        offer(A, 0, 10);
        offer(A, 0, 100);
        assertThat(mQueues.next(Fleet.POOL, 10, w -> 0, expired).get().deadlineNanos())
                .isEqualTo(100);
        assertThat(expired).hasSize(1);
        offer(B, 10, 20);
        assertThat(mQueues.expire(20)).hasSize(1);
        assertThat(mQueues.waiting()).isEqualTo(0);
        assertThat(offer(B, 20, 20)).isEqualTo(Optional.of(RefusalReason.DEADLINE_PASSED));
    }

    /** Guards against a selector that skips a customer, or skips one request without limit. */
    @Test
    void selectorIsLimitedToOldestEightOfCustomerWithSmallestCounterAndToEightSkips() {
        List<Integer> candidates = new ArrayList<>();
        mLedger.charge(B, 5);
        for (int i = 0; i < 20; i++) {
            offer(A, i, 1_000);
        }
        offer(B, 20, 1_000);
        List<Long> started = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            QueuedRequest<String> next =
                    mQueues.next(
                                    Fleet.POOL,
                                    30,
                                    waiting -> {
                                        candidates.add(waiting.size());
                                        return waiting.size() - 1;
                                    },
                                    new ArrayList<>())
                            .get();
            assertThat(next.customer()).isEqualTo(A);
            started.add(next.arrivalNanos());
        }
        assertThat(candidates).containsExactly(8, 8, 8, 8, 8, 8, 8, 8, 8);
        assertThat(started).containsExactly(7L, 8L, 9L, 10L, 11L, 12L, 13L, 14L, 0L, 16L).inOrder();
    }
}
