package org.jacinthwharf.request.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.request.admission.ServiceLedger;

/**
 * Reports to the ledger which customers are backlogged: those with queued requests, and for a short
 * time those with requests that were refused for lack of capacity.
 *
 * <p>Not thread-safe. Invariant: a customer is backlogged in the ledger exactly while it has a
 * queued request here or was refused within {@link #REFUSED_NANOS}.
 */
final class Backlog {
    /** Longer than the interval between refusals to a customer that is refused continually. */
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
        List<CustomerId> expired =
                mRefusedUntil.entrySet().stream()
                        .filter(e -> e.getValue() <= nowNanos)
                        .map(Map.Entry::getKey)
                        .toList();
        expired.forEach(mRefusedUntil::remove);
        expired.forEach(this::refresh);
    }

    private void refresh(CustomerId customer) {
        boolean backlogged = mWaiting.containsKey(customer) || mRefusedUntil.containsKey(customer);
        mLedger.setBacklogged(customer, backlogged);
    }
}
