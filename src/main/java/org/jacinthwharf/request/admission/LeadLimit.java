package org.jacinthwharf.request.admission;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the time for which a customer that is ahead of the others waits for them.
 *
 * <p>A customer may get far ahead while capacity is free, and a router that has restarted knows
 * only the sums of all service since its peers started. If capacity falls afterwards, the others
 * would need many seconds to catch up, in which the customer gets nothing. So what they are allowed
 * to catch up is what backlogged customers receive in {@link #LEAD_SECONDS} at the present rate.
 *
 * <p>Not thread-safe. Invariant: the order of customers by their counters is not changed.
 */
public final class LeadLimit {
    /**
     * A quarter of the six seconds for which shares have to be fair: a customer that waits for it
     * still gets three quarters of what the others get.
     */
    private static final double LEAD_SECONDS = 1.5;

    /** Time over which the rate of service is measured. */
    private static final long RATE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Lead in cost units for each customer that is always kept: a few of the longest prompts. */
    private static final double MIN_LEAD = 50_000;

    private record Sample(long nanos, double service) {}

    private final ServiceLedger mLedger;
    private final ArrayDeque<Sample> mSamples = new ArrayDeque<>();

    /** Creates a limit on the leads in a ledger. */
    public LeadLimit(ServiceLedger ledger) {
        mLedger = ledger;
    }

    /** Applies the limit; called several times a second. */
    public void update(long nowNanos) {
        while (mSamples.size() > 1 && nowNanos - mSamples.getFirst().nanos() > RATE_WINDOW_NANOS) {
            mSamples.removeFirst();
        }
        mSamples.addLast(new Sample(nowNanos, mLedger.totalService()));
        mLedger.limitLeads(LEAD_SECONDS * servicePerSecond(), MIN_LEAD);
    }

    private double servicePerSecond() {
        Sample first = mSamples.getFirst();
        Sample last = mSamples.getLast();
        double seconds = (double) (last.nanos() - first.nanos()) / TimeUnit.SECONDS.toNanos(1);
        return seconds == 0 ? 0 : (last.service() - first.service()) / seconds;
    }
}
