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
 * Stores the latest demand of each router at an owner and selects the one to grant next.
 *
 * <p>Invariants: a demand replaces an earlier one of the same router and pool, never a later one;
 * each grant decreases the demand and increases the owner's copy of the customer's counter by the
 * estimate, for the demands of all routers. Not thread-safe. Selection is linear in the number of
 * routers times the heads of their demands.
 */
final class DemandTable {
    /**
     * A demand that was not refreshed expires before its grants would. Routers resend it every 200
     * ms.
     */
    static final long DEMAND_LIFETIME = AdmissionDurations.GRANT_VALIDITY * 9 / 10;

    /**
     * The counters of other routers include the service of a grant after two exchange intervals of
     * 200 ms, one for each hop; until then the owner adds the estimate of the grant itself.
     */
    static final long PENDING_LIFETIME = 2 * AdmissionDurations.EXCHANGE_INTERVAL;

    /** The demand to grant to next. */
    record Choice(RouterIncarnation router, long sequence) {}

    private record PendingGrant(String customer, VmId router, double cost, long grantedNanos) {}

    /**
     * Cost of the pending grants of one customer, so that selection does not iterate over the
     * grants.
     */
    private static final class PendingCost {
        private final Map<VmId, Double> mCosts = new HashMap<>();
        private double mTotal;
        private int mGrants;

        void add(PendingGrant pending) {
            mCosts.merge(pending.router(), pending.cost(), Double::sum);
            mTotal += pending.cost();
            mGrants++;
        }

        /**
         * Removes a grant. Returns false if it was the last one: the caller then drops the sum, so
         * that rounding errors do not accumulate.
         */
        boolean remove(PendingGrant pending) {
            mCosts.merge(pending.router(), -pending.cost(), Double::sum);
            mTotal -= pending.cost();
            mGrants--;
            return mGrants > 0;
        }

        double excluding(VmId router) {
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
    private final ArrayDeque<PendingGrant> mPendingGrants = new ArrayDeque<>();
    private final Map<String, PendingCost> mPendingCosts = new HashMap<>();

    /**
     * Stores a demand; returns its pool, or empty if the demand is malformed or not newer than the
     * stored one.
     */
    Optional<PoolId> update(Demand demand, long nowNanos) {
        Optional<PoolId> pool = PoolMessages.parse(demand.getPool());
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
            // Customers beyond the heads have counters of at least that of the last head.
            heads.add(new Head("", largest, cost, waiting));
        }
        return heads;
    }

    /** Returns the demand whose customer has the smallest counter. */
    Optional<Choice> selectNext(PoolId pool, long nowNanos) {
        return selectCandidate(pool, nowNanos)
                .map(c -> new Choice(c.entry().mRouter, c.entry().mSequence));
    }

    /** Records a grant to the demand that {@link #selectNext} returns now. */
    void onGranted(PoolId pool, long nowNanos) {
        Candidate chosen = selectCandidate(pool, nowNanos).orElseThrow();
        Head head = chosen.head();
        head.mWaiting--;
        head.mCounter += head.mCost;
        VmId router = chosen.entry().mRouter.vm();
        PendingGrant pending = new PendingGrant(head.mCustomer, router, head.mCost, nowNanos);
        mPendingGrants.addLast(pending);
        mPendingCosts.computeIfAbsent(head.mCustomer, c -> new PendingCost()).add(pending);
    }

    private Optional<Candidate> selectCandidate(PoolId pool, long nowNanos) {
        while (!mPendingGrants.isEmpty()
                && nowNanos - mPendingGrants.getFirst().grantedNanos() > PENDING_LIFETIME) {
            PendingGrant expired = mPendingGrants.removeFirst();
            mPendingCosts.computeIfPresent(
                    expired.customer(), (c, sum) -> sum.remove(expired) ? sum : null);
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
                double counter = head.mCounter + pendingAtOtherRouters(head, entry);
                if (best == null || counter < best.counter()) {
                    best = new Candidate(entry, head, counter);
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private double pendingAtOtherRouters(Head head, Entry entry) {
        PendingCost sum = mPendingCosts.get(head.mCustomer);
        return sum == null ? 0 : sum.excluding(entry.mRouter.vm());
    }

    /** Returns the number of requests that wait for the pool in all routers. */
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
