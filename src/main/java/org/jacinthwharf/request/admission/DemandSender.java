package org.jacinthwharf.request.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Demand;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.PoolOffer;

/**
 * Sends the demand of this router, the number of its waiting requests, to owners.
 *
 * <p>Owners in this failure domain receive the number of all waiting requests once per exchange
 * interval. Remote owners receive the excess only: requests that have waited for one interval (same
 * region) or two (other regions), less the free slots at nearer owners. Invariant: an owner with
 * outstanding demand is notified when no request waits any more. Not thread-safe.
 */
final class DemandSender<R> {
    private record OutstandingDemand(VmId owner, PoolId pool) {}

    private final RouterIncarnation mSelf;
    private final OfferTable mOffers;
    private final RequestQueues<R> mQueues;
    private final Function<VmId, OwnerMessageTracker> mTrackers;
    private final DemandLog mDemandLog = new DemandLog();
    private final Set<FailureDomainId> mOutOfService = new HashSet<>();
    private final Map<PoolId, Long> mNearestSentNanos = new HashMap<>();
    private Set<OutstandingDemand> mOutstanding = new HashSet<>();
    // Owners that were sent demand in the current report interval and in the two before it; their
    // grants may still be in flight.
    private Set<VmId> mSentCurrent = new TreeSet<>();
    private Set<VmId> mSentPrevious = new TreeSet<>();
    private Set<VmId> mSentOldest = new TreeSet<>();

    DemandSender(
            RouterIncarnation self,
            OfferTable offers,
            RequestQueues<R> queues,
            Function<VmId, OwnerMessageTracker> trackers) {
        mSelf = self;
        mOffers = offers;
        mQueues = queues;
        mTrackers = trackers;
    }

    void onOffer(PoolOffer offer, long nowNanos) {
        mOffers.update(offer, nowNanos);
    }

    void setOutOfService(FailureDomainId domain, boolean outOfService) {
        mOffers.setOutOfService(domain, outOfService);
        if (outOfService) {
            mOutOfService.add(domain);
        } else {
            mOutOfService.remove(domain);
        }
    }

    boolean isOutOfService(String domain) {
        return FailureDomainId.parse(domain).map(mOutOfService::contains).orElse(false);
    }

    OptionalLong usableUntil(long sequence, long nowNanos) {
        return mDemandLog.usableUntil(sequence, nowNanos);
    }

    long closedSequence(long nowNanos) {
        return mDemandLog.closedSequence(nowNanos);
    }

    /**
     * Returns the owners that were sent demand during the last three report intervals, and starts a
     * new interval. One report after the grants have expired would be enough; the others make up
     * for lost reports.
     */
    Set<VmId> rotateRecentOwners() {
        Set<VmId> recent = new TreeSet<>(mSentCurrent);
        recent.addAll(mSentPrevious);
        recent.addAll(mSentOldest);
        mSentOldest = mSentPrevious;
        mSentPrevious = mSentCurrent;
        mSentCurrent = new TreeSet<>();
        return recent;
    }

    /**
     * Sends demand for an offered free slot immediately instead of in the next exchange interval.
     * If no slot is offered, the offers may be out of date: demand then goes to the nearest owner,
     * rate-limited so that a burst does not send one demand for each request.
     */
    void onArrival(PoolId pool, long nowNanos, List<RouterAction<R>> actions) {
        if (mQueues.waiting(pool) == 0) {
            return;
        }
        Optional<VmId> free = mOffers.takeFree(pool, nowNanos);
        if (free.isPresent()) {
            send(pool, free.get(), nowNanos, actions);
        } else if (nowNanos - mNearestSentNanos.getOrDefault(pool, Long.MIN_VALUE / 2)
                >= AdmissionDurations.MIN_DEMAND_INTERVAL) {
            mNearestSentNanos.put(pool, nowNanos);
            mOffers.nearest(pool, nowNanos).ifPresent(o -> send(pool, o, nowNanos, actions));
        }
    }

    /** Returns whether any owner offers servers of the pool, with or without free slots. */
    boolean hasServers(PoolId pool, long nowNanos) {
        return mOffers.nearest(pool, nowNanos).isPresent();
    }

    /** Records that a slot was returned to its owner. */
    void onReturned(PoolId pool, VmId owner) {
        mOffers.onReturned(pool, owner);
    }

    /** Sends the current demand of every pool; called once per exchange interval. */
    void sendAll(long nowNanos, List<RouterAction<R>> actions) {
        Set<OutstandingDemand> before = mOutstanding;
        mOutstanding = new HashSet<>();
        for (PoolId pool : mQueues.pools()) {
            int free = 0;
            for (OfferTable.Distance distance : OfferTable.Distance.values()) {
                long waited = distance.ordinal() * AdmissionDurations.EXCHANGE_INTERVAL;
                int excess = mQueues.waitingSince(pool, nowNanos - waited) - free;
                if (excess > 0) {
                    for (VmId owner : mOffers.owners(pool, distance, nowNanos)) {
                        send(pool, owner, excess, nowNanos, actions);
                    }
                }
                free += mOffers.freeSlots(pool, distance, nowNanos);
            }
        }
        before.removeAll(mOutstanding);
        before.stream()
                .sorted(Comparator.comparing(OutstandingDemand::owner))
                .forEach(s -> send(s.pool(), s.owner(), 0, nowNanos, actions));
    }

    /** Sends the current demand for the pool to one owner. */
    void send(PoolId pool, VmId owner, long nowNanos, List<RouterAction<R>> actions) {
        send(pool, owner, mQueues.waiting(pool), nowNanos, actions);
    }

    /** Withdraws the demand at one owner until the next exchange interval. */
    void withdraw(PoolId pool, VmId owner, long nowNanos, List<RouterAction<R>> actions) {
        send(pool, owner, 0, nowNanos, actions);
    }

    private void send(
            PoolId pool, VmId owner, int waiting, long nowNanos, List<RouterAction<R>> actions) {
        OwnerMessageTracker tracker = mTrackers.apply(owner);
        Demand.Builder demand =
                Demand.newBuilder()
                        .setRouter(mSelf.vm().value())
                        .setRouterIncarnation(mSelf.incarnation())
                        .setSequence(mDemandLog.next(nowNanos))
                        .setPool(PoolMessages.toMessage(pool))
                        .setWaiting(waiting)
                        .setGrantsSeen(tracker.grantsSeen())
                        .setReturnsSent(tracker.returnsSent());
        if (waiting > 0) {
            demand.addAllHeads(mQueues.heads(pool));
            mOutstanding.add(new OutstandingDemand(owner, pool));
            mSentCurrent.add(owner);
        }
        Envelope envelope = Envelope.newBuilder().setDemand(demand).build();
        actions.add(new RouterAction.Send<>(owner, envelope));
    }
}
