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
 * Tells owners what waits in this router.
 *
 * <p>Every owner of the own failure domain is told of all waiting requests once per exchange round.
 * Owners elsewhere are told of the excess: requests that waited for a whole round (region) or two
 * (other regions) beyond the free slots nearer by. Invariant: an owner with standing demand is told
 * when nothing waits any more. Not thread-safe.
 */
final class DemandSender<R> {
    private record Standing(VmId owner, PoolId pool) {}

    private final RouterIncarnation mSelf;
    private final OfferTable mOffers;
    private final RequestQueues<R> mQueues;
    private final Function<VmId, OwnerContact> mContacts;
    private final DemandLog mLog = new DemandLog();
    private final Set<FailureDomainId> mOut = new HashSet<>();
    private final Map<PoolId, Long> mAskedNearest = new HashMap<>();
    private Set<Standing> mStanding = new HashSet<>();
    // Owners asked since the last report, and before it: their grants may still be on the way.
    private Set<VmId> mAsked = new TreeSet<>();
    private Set<VmId> mAskedBefore = new TreeSet<>();
    private Set<VmId> mAskedLongBefore = new TreeSet<>();

    DemandSender(
            RouterIncarnation self,
            OfferTable offers,
            RequestQueues<R> queues,
            Function<VmId, OwnerContact> contacts) {
        mSelf = self;
        mOffers = offers;
        mQueues = queues;
        mContacts = contacts;
    }

    void onOffer(PoolOffer offer, long nowNanos) {
        mOffers.accept(offer, nowNanos);
    }

    void setOut(FailureDomainId domain, boolean out) {
        mOffers.setOut(domain, out);
        if (out) {
            mOut.add(domain);
        } else {
            mOut.remove(domain);
        }
    }

    boolean isOut(String domain) {
        return FailureDomainId.parse(domain).map(mOut::contains).orElse(false);
    }

    OptionalLong usableUntil(long sequence, long nowNanos) {
        return mLog.usableUntil(sequence, nowNanos);
    }

    long closedSequence(long nowNanos) {
        return mLog.closedSequence(nowNanos);
    }

    /**
     * Returns the owners asked during the last three report intervals. One report after the grant
     * use limit would do; the others make up for lost ones.
     */
    Set<VmId> takeAsked() {
        Set<VmId> asked = new TreeSet<>(mAsked);
        asked.addAll(mAskedBefore);
        asked.addAll(mAskedLongBefore);
        mAskedLongBefore = mAskedBefore;
        mAskedBefore = mAsked;
        mAsked = new TreeSet<>();
        return asked;
    }

    /**
     * Asks for an offered free slot at once, without waiting for the next round. Where none is
     * offered, offers may be out of date: then the nearest owner is asked, but not for each request
     * of a burst.
     */
    void onArrival(PoolId pool, long nowNanos, List<RouterAction<R>> actions) {
        if (mQueues.waiting(pool) == 0) {
            return;
        }
        Optional<VmId> free = mOffers.takeFree(pool, nowNanos);
        if (free.isPresent()) {
            send(pool, free.get(), nowNanos, actions);
        } else if (nowNanos - mAskedNearest.getOrDefault(pool, Long.MIN_VALUE / 2)
                >= AdmissionTimes.ASK_PAUSE) {
            mAskedNearest.put(pool, nowNanos);
            mOffers.nearest(pool, nowNanos).ifPresent(o -> send(pool, o, nowNanos, actions));
        }
    }

    /** Returns whether any owner offers servers of the pool, with or without free slots. */
    boolean hasServers(PoolId pool, long nowNanos) {
        return mOffers.nearest(pool, nowNanos).isPresent();
    }

    /** Notes that a slot went back to its owner. */
    void onReturned(PoolId pool, VmId owner) {
        mOffers.onReturned(pool, owner);
    }

    /** Repeats the standing demand of every pool. */
    void round(long nowNanos, List<RouterAction<R>> actions) {
        Set<Standing> before = mStanding;
        mStanding = new HashSet<>();
        for (PoolId pool : mQueues.pools()) {
            int free = 0;
            for (OfferTable.Distance distance : OfferTable.Distance.values()) {
                long waited = distance.ordinal() * AdmissionTimes.EXCHANGE_ROUND;
                int excess = mQueues.waitingSince(pool, nowNanos - waited) - free;
                if (excess > 0) {
                    for (VmId owner : mOffers.owners(pool, distance, nowNanos)) {
                        send(pool, owner, excess, nowNanos, actions);
                    }
                }
                free += mOffers.freeSlots(pool, distance, nowNanos);
            }
        }
        before.removeAll(mStanding);
        before.stream()
                .sorted(Comparator.comparing(Standing::owner))
                .forEach(s -> send(s.pool(), s.owner(), 0, nowNanos, actions));
    }

    /** Sends what waits in the pool now to one owner. */
    void send(PoolId pool, VmId owner, long nowNanos, List<RouterAction<R>> actions) {
        send(pool, owner, mQueues.waiting(pool), nowNanos, actions);
    }

    /** Tells one owner that nothing waits, until the next round. */
    void withdraw(PoolId pool, VmId owner, long nowNanos, List<RouterAction<R>> actions) {
        send(pool, owner, 0, nowNanos, actions);
    }

    private void send(
            PoolId pool, VmId owner, int waiting, long nowNanos, List<RouterAction<R>> actions) {
        OwnerContact contact = mContacts.apply(owner);
        Demand.Builder demand =
                Demand.newBuilder()
                        .setRouter(mSelf.vm().value())
                        .setRouterIncarnation(mSelf.incarnation())
                        .setSequence(mLog.next(nowNanos))
                        .setPool(Pools.toMessage(pool))
                        .setWaiting(waiting)
                        .setGrantsSeen(contact.grantsSeen())
                        .setReturnsSent(contact.returnsSent());
        if (waiting > 0) {
            demand.addAllHeads(mQueues.heads(pool));
            mStanding.add(new Standing(owner, pool));
            mAsked.add(owner);
        }
        Envelope envelope = Envelope.newBuilder().setDemand(demand).build();
        actions.add(new RouterAction.Send<>(owner, envelope));
    }
}
