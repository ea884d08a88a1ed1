package org.jacinthwharf.request.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.wire.generated.DemandHead;

/**
 * Holds the waiting requests of a router, one queue per pool and customer.
 *
 * <p>Invariants: the limits hold after every {@link #enqueue}; the oldest request of a customer in
 * a pool is skipped at most {@link RequestSelector#MAX_CANDIDATES} times; the ledger records which
 * customers are backlogged. Refusal of a request depends only on the queue of its own customer and
 * the total limit. Not thread-safe. Selecting the next request is linear in the number of customers
 * that wait in the pool.
 */
final class RequestQueues<R> {
    private static final int MAX_HEADS = 16;

    private static final class CustomerQueue<R> {
        final ArrayDeque<QueuedRequest<R>> mRequests = new ArrayDeque<>();
        double mEstimatedCost;
        // Number of times that the oldest request was skipped.
        int mSkips;
    }

    private static final class PoolQueue<R> {
        final Map<CustomerId, CustomerQueue<R>> mCustomers = new LinkedHashMap<>();
        final ServiceRate mRate = new ServiceRate();
        int mWaiting;
    }

    private final QueueLimits mLimits;
    private final ServiceLedger mLedger;
    private final Map<PoolId, PoolQueue<R>> mPools = new HashMap<>();
    private final Map<CustomerId, Integer> mWaiting = new HashMap<>();
    private int mTotal;

    RequestQueues(QueueLimits limits, ServiceLedger ledger) {
        mLimits = limits;
        mLedger = ledger;
    }

    /** Queues a request, or returns the reason of its refusal. */
    Optional<RefusalReason> enqueue(QueuedRequest<R> request, long nowNanos) {
        if (request.deadlineNanos() <= nowNanos) {
            return Optional.of(RefusalReason.DEADLINE_PASSED);
        }
        if (mWaiting.getOrDefault(request.customer(), 0) >= mLimits.perCustomer()) {
            return Optional.of(RefusalReason.CUSTOMER_QUEUE_FULL);
        }
        if (mTotal >= mLimits.total()) {
            return Optional.of(RefusalReason.QUEUE_FULL);
        }
        if (estimatedWaitNanos(request, nowNanos) > request.deadlineNanos() - nowNanos) {
            return Optional.of(RefusalReason.DEADLINE_UNREACHABLE);
        }
        add(request, nowNanos, false);
        return Optional.empty();
    }

    /** Queues a previously admitted request ahead of the other requests of its customer. */
    void readmit(QueuedRequest<R> request, long nowNanos) {
        add(request, nowNanos, true);
    }

    private double estimatedWaitNanos(QueuedRequest<R> request, long nowNanos) {
        PoolQueue<R> pool = mPools.get(request.pool());
        CustomerQueue<R> queue = pool == null ? null : pool.mCustomers.get(request.customer());
        if (queue == null) {
            return 0;
        }
        double weights = pool.mCustomers.keySet().stream().mapToDouble(mLedger::weight).sum();
        double share = mLedger.weight(request.customer()) / weights;
        return pool.mRate.waitNanos(queue.mEstimatedCost, share, nowNanos);
    }

    private void add(QueuedRequest<R> request, long nowNanos, boolean atFront) {
        PoolQueue<R> pool = mPools.computeIfAbsent(request.pool(), p -> new PoolQueue<>());
        if (pool.mWaiting++ == 0) {
            pool.mRate.onFirstWaiting(nowNanos);
        }
        CustomerQueue<R> queue =
                pool.mCustomers.computeIfAbsent(request.customer(), c -> new CustomerQueue<>());
        if (atFront) {
            queue.mRequests.addFirst(request);
        } else {
            queue.mRequests.addLast(request);
        }
        queue.mEstimatedCost += request.estimate();
        mTotal++;
        if (mWaiting.merge(request.customer(), 1, Integer::sum) == 1) {
            mLedger.setBacklogged(request.customer(), true);
        }
    }

    /**
     * Removes and returns the next request of the pool: one of the customer with the smallest
     * counter.
     *
     * @param selector returns the index of the request to start among the customer's oldest
     * @param expired receives the removed requests that are past their deadline
     */
    Optional<QueuedRequest<R>> next(
            PoolId poolId,
            long nowNanos,
            ToIntFunction<List<QueuedRequest<R>>> selector,
            List<QueuedRequest<R>> expired) {
        while (true) {
            PoolQueue<R> pool = mPools.get(poolId);
            if (pool == null || pool.mWaiting == 0) {
                return Optional.empty();
            }
            CustomerId customer = Collections.min(pool.mCustomers.keySet(), byCounter());
            CustomerQueue<R> queue = pool.mCustomers.get(customer);
            QueuedRequest<R> oldest = queue.mRequests.getFirst();
            if (oldest.deadlineNanos() <= nowNanos) {
                remove(oldest);
                expired.add(oldest);
                continue;
            }
            QueuedRequest<R> request = select(queue, nowNanos, selector);
            remove(request);
            pool.mRate.onStart(request.estimate(), nowNanos);
            return Optional.of(request);
        }
    }

    private static <R> QueuedRequest<R> select(
            CustomerQueue<R> queue, long nowNanos, ToIntFunction<List<QueuedRequest<R>>> selector) {
        List<QueuedRequest<R>> candidates =
                queue.mRequests.stream()
                        .limit(RequestSelector.MAX_CANDIDATES)
                        .filter(request -> request.deadlineNanos() > nowNanos)
                        .toList();
        boolean selectable = candidates.size() > 1 && queue.mSkips < RequestSelector.MAX_CANDIDATES;
        int index = selectable ? selector.applyAsInt(candidates) : 0;
        queue.mSkips = index == 0 ? 0 : queue.mSkips + 1;
        return candidates.get(index);
    }

    /** Removes and returns the requests past their deadline; linear in the waiting requests. */
    List<QueuedRequest<R>> expire(long nowNanos) {
        List<QueuedRequest<R>> expired = new ArrayList<>();
        for (PoolQueue<R> pool : mPools.values()) {
            for (CustomerQueue<R> queue : pool.mCustomers.values()) {
                queue.mRequests.stream()
                        .filter(request -> request.deadlineNanos() <= nowNanos)
                        .forEach(expired::add);
            }
        }
        expired.forEach(this::remove);
        return expired;
    }

    /** Removes a request whose caller disconnected; returns whether it was waiting. */
    boolean remove(QueuedRequest<R> request) {
        PoolQueue<R> pool = mPools.get(request.pool());
        CustomerQueue<R> queue = pool == null ? null : pool.mCustomers.get(request.customer());
        if (queue == null || !queue.mRequests.remove(request)) {
            return false;
        }
        queue.mEstimatedCost -= request.estimate();
        if (queue.mRequests.isEmpty()) {
            pool.mCustomers.remove(request.customer());
        }
        pool.mWaiting--;
        mTotal--;
        if (mWaiting.merge(request.customer(), -1, (a, b) -> a + b == 0 ? null : a + b) == null) {
            mLedger.setBacklogged(request.customer(), false);
        }
        return true;
    }

    /** Returns the pools that ever had a request. */
    Set<PoolId> pools() {
        return mPools.keySet();
    }

    int waiting() {
        return mTotal;
    }

    int waiting(PoolId poolId) {
        PoolQueue<R> pool = mPools.get(poolId);
        return pool == null ? 0 : pool.mWaiting;
    }

    /** Returns how many requests of the pool arrived at {@code timeNanos} or before. */
    int waitingSince(PoolId poolId, long timeNanos) {
        PoolQueue<R> pool = mPools.get(poolId);
        if (pool == null) {
            return 0;
        }
        return (int)
                pool.mCustomers.values().stream()
                        .flatMap(queue -> queue.mRequests.stream())
                        .filter(request -> request.arrivalNanos() <= timeNanos)
                        .count();
    }

    /** Returns the customers of the pool with the smallest counters, ascending. */
    List<DemandHead> heads(PoolId poolId) {
        PoolQueue<R> pool = mPools.get(poolId);
        if (pool == null) {
            return List.of();
        }
        List<DemandHead> heads = new ArrayList<>();
        List<CustomerId> customers =
                pool.mCustomers.keySet().stream().sorted(byCounter()).limit(MAX_HEADS).toList();
        for (CustomerId customer : customers) {
            ArrayDeque<QueuedRequest<R>> requests = pool.mCustomers.get(customer).mRequests;
            double cost = requests.getFirst().estimate() / mLedger.weight(customer);
            heads.add(
                    DemandHead.newBuilder()
                            .setCustomer(customer.value())
                            .setCounter(mLedger.counter(customer))
                            .setWaiting(requests.size())
                            .setEstimatedCost(cost)
                            .build());
        }
        return heads;
    }

    private Comparator<CustomerId> byCounter() {
        return Comparator.comparingDouble(mLedger::counter)
                .thenComparing(Comparator.naturalOrder());
    }
}
