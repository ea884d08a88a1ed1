package org.jacinthwharf.process.router;

import java.time.Duration;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.request.admission.FairnessBound;
import org.jacinthwharf.request.admission.ServiceLedger;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.ServiceTotals;

/**
 * Exchanges service totals with the other routers, and clamps the differences that a network
 * partition leaves between customers.
 *
 * <p>Used on the event loop only. Totals are sent to every linked router; at the designed fleet
 * size they have to go through coordinators (design 3.2).
 */
final class ServiceExchange {
    /** Interval at which totals are sent. */
    static final Duration INTERVAL = Duration.ofMillis(200);

    // After a partition heals, totals of the other side keep arriving for up to this long.
    private static final Duration REJOIN_CLAMP_TIME = Duration.ofSeconds(12);
    private static final int MAX_HOPS = 2;

    private final ServiceLedger mLedger;
    private final PeerLinks mLinks;
    private final EventLoop mLoop;
    private final int mRouterCount;
    private double mLargestCost;
    private double mSmallestWeight = 1;
    private int mMaxRunning = 1;

    /**
     * Creates an exchange.
     *
     * @param routerCount number of routers in the settings
     * @param defaultCost initial value of the largest cost, in cost units
     */
    ServiceExchange(
            ServiceLedger ledger,
            PeerLinks links,
            EventLoop loop,
            int routerCount,
            double defaultCost) {
        mLedger = ledger;
        mLinks = links;
        mLoop = loop;
        mRouterCount = routerCount;
        mLargestCost = defaultCost;
    }

    /** Sends the changed totals; {@code running} is the number of open requests in this router. */
    void tick(int running) {
        mMaxRunning = Math.max(mMaxRunning, running);
        ServiceTotals totals = mLedger.nextTotals();
        if (totals.getOrigins(0).getTotalsCount() > 0) {
            Envelope message = Envelope.newBuilder().setServiceTotals(totals).build();
            mLinks.linkedRouters().forEach(r -> mLinks.sendToRouter(r, message));
        }
    }

    /** Merges the totals of another router. */
    void onTotals(ServiceTotals totals) {
        mLedger.merge(totals, mLoop.nowNanos());
    }

    /** Records a measured cost in cost units. */
    void onCost(double cost) {
        mLargestCost = Math.max(mLargestCost, cost);
    }

    /** Records the weight of a customer. */
    void onWeight(double weight) {
        mSmallestWeight = Math.min(mSmallestWeight, weight);
    }

    /**
     * Starts clamping the service counters after the link to a lost router has reopened. Otherwise
     * a customer that received more than its share on one side of a partition would be starved
     * until the other customers caught up.
     */
    void onRouterRecovered(VmId router) {
        // Upper bound: every router runs as many requests as this one, and each takes one second.
        int slots = mMaxRunning * mRouterCount;
        double seconds = MAX_HOPS * INTERVAL.toMillis() / 1e3;
        FairnessBound bound =
                new FairnessBound(
                        slots, mLargestCost, slots * mLargestCost, seconds, mSmallestWeight);
        mLedger.onRejoin(bound, mLoop.nowNanos() + REJOIN_CLAMP_TIME.toNanos());
    }
}
