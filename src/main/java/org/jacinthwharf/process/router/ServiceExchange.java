package org.jacinthwharf.process.router;

import java.time.Duration;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.request.admission.FairnessBound;
import org.jacinthwharf.request.admission.ServiceLedger;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.ServiceTotals;

/**
 * Exchanges totals of service with the other routers, and limits what a partition leaves behind.
 *
 * <p>Used on the event loop only. Totals go to every linked router; at the size designed for they
 * have to go through coordinators (design 3.2).
 */
final class ServiceExchange {
    /** Time between two exchanges. */
    static final Duration INTERVAL = Duration.ofMillis(200);

    // Totals of the other side arrive for this long after the links are back.
    private static final Duration REJOIN_TIME = Duration.ofSeconds(12);
    private static final int HOPS = 2;

    private final ServiceLedger mLedger;
    private final PeerLinks mLinks;
    private final EventLoop mLoop;
    private final int mRouters;
    private double mLargestCost;
    private double mSmallestWeight = 1;
    private int mMostRunning = 1;

    /**
     * Creates an exchange.
     *
     * @param routers number of routers in the settings
     * @param defaultCost stands for the largest cost until one is measured, in cost units
     */
    ServiceExchange(
            ServiceLedger ledger,
            PeerLinks links,
            EventLoop loop,
            int routers,
            double defaultCost) {
        mLedger = ledger;
        mLinks = links;
        mLoop = loop;
        mRouters = routers;
        mLargestCost = defaultCost;
    }

    /** Sends the totals that changed; {@code running} is the number of open requests here. */
    void tick(int running) {
        mMostRunning = Math.max(mMostRunning, running);
        ServiceTotals totals = mLedger.nextTotals();
        if (totals.getOrigins(0).getTotalsCount() > 0) {
            Envelope message = Envelope.newBuilder().setServiceTotals(totals).build();
            mLinks.linkedRouters().forEach(r -> mLinks.sendToRouter(r, message));
        }
    }

    /** Takes the totals of another router. */
    void onTotals(ServiceTotals totals) {
        mLedger.merge(totals, mLoop.nowNanos());
    }

    /** Notes a measured cost in cost units. */
    void onCost(double cost) {
        mLargestCost = Math.max(mLargestCost, cost);
    }

    /** Notes the weight of a customer. */
    void onWeight(double weight) {
        mSmallestWeight = Math.min(mSmallestWeight, weight);
    }

    /**
     * Takes note that a router is back that was lost. A customer that got more than its share on
     * one side of a partition would be passed over until the others caught up; the clamp ends that.
     */
    void onRouterBack(VmId router) {
        // An upper bound: every router runs as many requests as this one did, each in a second.
        int slots = mMostRunning * mRouters;
        double seconds = HOPS * INTERVAL.toMillis() / 1e3;
        FairnessBound bound =
                new FairnessBound(
                        slots, mLargestCost, slots * mLargestCost, seconds, mSmallestWeight);
        mLedger.onRejoin(bound, mLoop.nowNanos() + REJOIN_TIME.toNanos());
    }
}
