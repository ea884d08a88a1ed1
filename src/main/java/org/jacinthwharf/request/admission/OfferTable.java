package org.jacinthwharf.request.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.PoolOffer;

/**
 * Remembers which owners have backend servers of a pool, and how far away they are.
 *
 * <p>Invariant: offers older than {@link #OFFER_LIFETIME} and those of failure domains that are out
 * are not used. Not thread-safe.
 */
final class OfferTable {
    /** Owners repeat offers every second; an owner is given up after three. */
    static final long OFFER_LIFETIME = 3 * AdmissionTimes.REPEAT_INTERVAL;

    /** Distance of an owner, in the order in which routers ask. */
    enum Distance {
        SAME_FAILURE_DOMAIN,
        SAME_REGION,
        OTHER_REGION
    }

    private static final class Entry {
        FailureDomainId mFailureDomain;
        Distance mDistance;
        long mIncarnation;
        int mFreeSlots;
        long mReceivedNanos;
    }

    private final FailureDomainId mFailureDomain;
    private final String mRegion;
    private final Map<PoolId, Map<VmId, Entry>> mOffers = new HashMap<>();
    private final Set<FailureDomainId> mOut = new HashSet<>();

    OfferTable(FailureDomainId failureDomain, String region) {
        mFailureDomain = failureDomain;
        mRegion = region;
    }

    void accept(PoolOffer offer, long nowNanos) {
        Optional<PoolId> pool = Pools.parse(offer.getPool());
        Optional<VmId> owner = VmId.parse(offer.getOwner());
        Optional<FailureDomainId> domain = FailureDomainId.parse(offer.getFailureDomain());
        if (pool.isEmpty() || owner.isEmpty() || domain.isEmpty()) {
            return;
        }
        Map<VmId, Entry> offers = mOffers.computeIfAbsent(pool.get(), p -> new HashMap<>());
        Entry entry = offers.computeIfAbsent(owner.get(), o -> new Entry());
        if (offer.getOwnerIncarnation() < entry.mIncarnation) {
            return;
        }
        if (offer.getServers() == 0) {
            offers.remove(owner.get());
            return;
        }
        entry.mIncarnation = offer.getOwnerIncarnation();
        entry.mFailureDomain = domain.get();
        entry.mDistance = distance(domain.get(), offer.getRegion());
        entry.mFreeSlots = offer.getFreeSlots();
        entry.mReceivedNanos = nowNanos;
    }

    private Distance distance(FailureDomainId domain, String region) {
        if (domain.equals(mFailureDomain)) {
            return Distance.SAME_FAILURE_DOMAIN;
        }
        return region.equals(mRegion) ? Distance.SAME_REGION : Distance.OTHER_REGION;
    }

    void setOut(FailureDomainId domain, boolean out) {
        if (out) {
            mOut.add(domain);
        } else {
            mOut.remove(domain);
        }
    }

    /** Returns the owners at the given distance that have servers of the pool. */
    List<VmId> owners(PoolId pool, Distance distance, long nowNanos) {
        List<VmId> owners = new ArrayList<>();
        mOffers.getOrDefault(pool, Map.of())
                .forEach(
                        (owner, entry) -> {
                            if (entry.mDistance == distance && isUsable(entry, nowNanos)) {
                                owners.add(owner);
                            }
                        });
        owners.sort(Comparator.naturalOrder());
        return owners;
    }

    /** Returns the free slots that owners at the given distance last offered. */
    int freeSlots(PoolId pool, Distance distance, long nowNanos) {
        return mOffers.getOrDefault(pool, Map.of()).values().stream()
                .filter(entry -> entry.mDistance == distance && isUsable(entry, nowNanos))
                .mapToInt(entry -> entry.mFreeSlots)
                .sum();
    }

    /**
     * Takes one offered slot of the own failure domain and returns its owner, so that each free
     * slot is asked for once between offers.
     */
    Optional<VmId> takeFree(PoolId pool, long nowNanos) {
        Map<VmId, Entry> offers = mOffers.getOrDefault(pool, Map.of());
        Optional<VmId> owner =
                owners(pool, Distance.SAME_FAILURE_DOMAIN, nowNanos).stream()
                        .filter(o -> offers.get(o).mFreeSlots > 0)
                        .max(Comparator.comparingInt(o -> offers.get(o).mFreeSlots));
        owner.ifPresent(o -> offers.get(o).mFreeSlots--);
        return owner;
    }

    /** Notes that this router returned a slot of an owner, which is free again there. */
    void onReturned(PoolId pool, VmId owner) {
        Entry entry = mOffers.getOrDefault(pool, Map.of()).get(owner);
        if (entry != null) {
            entry.mFreeSlots++;
        }
    }

    /** Returns the nearest owner that has servers of the pool, with or without free slots. */
    Optional<VmId> nearest(PoolId pool, long nowNanos) {
        return Stream.of(Distance.values())
                .flatMap(d -> owners(pool, d, nowNanos).stream())
                .findFirst();
    }

    private boolean isUsable(Entry entry, long nowNanos) {
        return nowNanos - entry.mReceivedNanos <= OFFER_LIFETIME
                && !mOut.contains(entry.mFailureDomain);
    }
}
