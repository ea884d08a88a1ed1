package org.jacinthwharf.request.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.request.admission.ServiceLedger;

/**
 * Tells the ledger which customers get less than they ask for: those with waiting requests, and for
 * a moment those whose requests were refused for lack of room.
 *
 * <p>Not thread-safe. Invariant: a customer is backlogged in the ledger exactly while it has a
 * waiting request here or was refused within {@link #REFUSED_NANOS}.
 */
final class Backlog {
    /** A customer that is refused again and again is refused more often than this. */
    private static final long REFUSED_NANOS = 700_000_000L;

    private final ServiceLedger mLedger;
    private final Map<CustomerId, Integer> mWaiting = new HashMap<>();
    private final Map<CustomerId, Long> mRefusedUntil = new HashMap<>();

    Backlog(ServiceLedger ledger) {
        mLedger = ledger;
    }

    void onWaiting(CustomerId customer) {
        mWaiting.merge(customer, 1, Integer::sum);
        mLedger.setBacklogged(customer, true);
    }

    void onNoLongerWaiting(CustomerId customer) {
        mWaiting.computeIfPresent(customer, (c, n) -> n == 1 ? null : n - 1);
        refresh(customer);
    }

    void onRefused(CustomerId customer, long nowNanos) {
        mRefusedUntil.put(customer, nowNanos + REFUSED_NANOS);
        mLedger.setBacklogged(customer, true);
    }

    void expire(long nowNanos) {
        List<CustomerId> over =
                mRefusedUntil.entrySet().stream()
                        .filter(e -> e.getValue() <= nowNanos)
                        .map(Map.Entry::getKey)
                        .toList();
        over.forEach(mRefusedUntil::remove);
        over.forEach(this::refresh);
    }

    private void refresh(CustomerId customer) {
        boolean backlogged = mWaiting.containsKey(customer) || mRefusedUntil.containsKey(customer);
        mLedger.setBacklogged(customer, backlogged);
    }
}
