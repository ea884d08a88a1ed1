package org.jacinthwharf.request.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Demand;
import org.jacinthwharf.wire.generated.DemandHead;

/**
 * Keeps the demand of each router at an owner, and chooses the one to grant to.
 *
 * <p>Invariants: a demand replaces an earlier one of the router for the pool, never a later one;
 * each grant lowers the demand, and raises the owner's copy of the customer's counter by the
 * estimate, for the demands of all routers. Not thread-safe. A choice is linear in the routers
 * times the heads of their demands.
 */
final class DemandTable {
    /**
     * A demand that was not repeated is dropped before its grants would be late. Routers repeat it
     * every 200 ms.
     */
    static final long DEMAND_LIFETIME = AdmissionTimes.GRANT_USE_LIMIT * 9 / 10;

    /**
     * Counters that other routers send contain the service of a grant after two exchange intervals
     * of 200 ms, one for each hop; until then the owner adds the grant's estimate itself.
     */
    static final long PENDING_LIFETIME = 2 * AdmissionTimes.EXCHANGE_ROUND;

    /** The demand to grant to next. */
    record Choice(RouterIncarnation router, long sequence) {}

    private record Pending(String customer, VmId router, double cost, long grantedNanos) {}

    /** Cost of the pending grants of one customer, so that a choice need not look at each grant. */
    private static final class PendingSum {
        private final Map<VmId, Double> mCosts = new HashMap<>();
        private double mTotal;
        private int mGrants;

        void add(Pending pending) {
            mCosts.merge(pending.router(), pending.cost(), Double::sum);
            mTotal += pending.cost();
            mGrants++;
        }

        /** Takes a grant out; returns false if it was the last, so that no rounding error stays. */
        boolean without(Pending pending) {
            mCosts.merge(pending.router(), -pending.cost(), Double::sum);
            mTotal -= pending.cost();
            mGrants--;
            return mGrants > 0;
        }

        double exceptOf(VmId router) {
            return Math.max(0, mTotal - mCosts.getOrDefault(router, 0.0));
        }
    }

    private static final class Head {
        final String mCustomer;
        double mCounter;
        final double mCost;
        int mWaiting;

        Head(String customer, double counter, double cost, int waiting) {
            mCustomer = customer;
            mCounter = counter;
            mCost = cost;
            mWaiting = waiting;
        }
    }

    private static final class Entry {
        RouterIncarnation mRouter;
        long mSequence;
        long mReceivedNanos;
        List<Head> mHeads = new ArrayList<>();
    }

    private record Candidate(Entry entry, Head head, double counter) {}

    private final Map<PoolId, Map<VmId, Entry>> mEntries = new HashMap<>();
    private final ArrayDeque<Pending> mPending = new ArrayDeque<>();
    private final Map<String, PendingSum> mPendingSums = new HashMap<>();

    /** Stores a demand; returns its pool, or empty if it is malformed or older than the known. */
    Optional<PoolId> accept(Demand demand, long nowNanos) {
        Optional<PoolId> pool = Pools.parse(demand.getPool());
        Optional<VmId> vm = VmId.parse(demand.getRouter());
        if (pool.isEmpty() || vm.isEmpty()) {
            return Optional.empty();
        }
        RouterIncarnation router = RouterIncarnation.of(vm.get(), demand.getRouterIncarnation());
        Entry entry =
                mEntries.computeIfAbsent(pool.get(), p -> new TreeMap<>())
                        .computeIfAbsent(vm.get(), v -> new Entry());
        if (entry.mRouter != null
                && (router.incarnation() < entry.mRouter.incarnation()
                        || router.equals(entry.mRouter)
                                && demand.getSequence() <= entry.mSequence)) {
            return Optional.empty();
        }
        entry.mRouter = router;
        entry.mSequence = demand.getSequence();
        entry.mReceivedNanos = nowNanos;
        entry.mHeads = heads(demand);
        return pool;
    }

    private static List<Head> heads(Demand demand) {
        List<Head> heads = new ArrayList<>();
        int waiting = demand.getWaiting();
        double largest = 0;
        double cost = 0;
        for (DemandHead head : demand.getHeadsList()) {
            int count = Math.min(head.getWaiting(), waiting);
            largest = head.getCounter();
            cost = head.getEstimatedCost();
            heads.add(new Head(head.getCustomer(), largest, cost, count));
            waiting -= count;
        }
        if (waiting > 0) {
            // Customers that did not fit into the heads have counters of at least the last head's.
            heads.add(new Head("", largest, cost, waiting));
        }
        return heads;
    }

    /** Returns the demand whose customer has the smallest counter. */
    Optional<Choice> best(PoolId pool, long nowNanos) {
        return candidate(pool, nowNanos)
                .map(c -> new Choice(c.entry().mRouter, c.entry().mSequence));
    }

    /** Counts a grant to the demand that {@link #best} returns now. */
    void onGranted(PoolId pool, long nowNanos) {
        Candidate chosen = candidate(pool, nowNanos).orElseThrow();
        Head head = chosen.head();
        head.mWaiting--;
        head.mCounter += head.mCost;
        VmId router = chosen.entry().mRouter.vm();
        Pending pending = new Pending(head.mCustomer, router, head.mCost, nowNanos);
        mPending.addLast(pending);
        mPendingSums.computeIfAbsent(head.mCustomer, c -> new PendingSum()).add(pending);
    }

    private Optional<Candidate> candidate(PoolId pool, long nowNanos) {
        while (!mPending.isEmpty()
                && nowNanos - mPending.getFirst().grantedNanos() > PENDING_LIFETIME) {
            Pending lapsed = mPending.removeFirst();
            mPendingSums.computeIfPresent(
                    lapsed.customer(), (c, sum) -> sum.without(lapsed) ? sum : null);
        }
        Candidate best = null;
        for (Entry entry : mEntries.getOrDefault(pool, Map.of()).values()) {
            if (nowNanos - entry.mReceivedNanos > DEMAND_LIFETIME) {
                continue;
            }
            for (Head head : entry.mHeads) {
                if (head.mWaiting <= 0) {
                    continue;
                }
                double counter = head.mCounter + grantedElsewhere(head, entry);
                if (best == null || counter < best.counter()) {
                    best = new Candidate(entry, head, counter);
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private double grantedElsewhere(Head head, Entry entry) {
        PendingSum sum = mPendingSums.get(head.mCustomer);
        return sum == null ? 0 : sum.exceptOf(entry.mRouter.vm());
    }

    /** Returns the number of requests waiting for the pool in all routers. */
    int waiting(PoolId pool, long nowNanos) {
        return mEntries.getOrDefault(pool, Map.of()).values().stream()
                .filter(entry -> nowNanos - entry.mReceivedNanos <= DEMAND_LIFETIME)
                .flatMap(entry -> entry.mHeads.stream())
                .mapToInt(head -> head.mWaiting)
                .sum();
    }

    void onRouterLost(VmId router) {
        mEntries.values().forEach(entries -> entries.remove(router));
    }
}
