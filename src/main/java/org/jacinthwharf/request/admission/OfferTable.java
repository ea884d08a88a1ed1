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
 * Stores the latest offer of each owner of backend servers of a pool, with the distance of the
 * owner.
 *
 * <p>Invariant: offers older than {@link #OFFER_LIFETIME} and those of failure domains out of
 * service are not used. Not thread-safe.
 */
final class OfferTable {
    /** Owners resend offers every second; an offer expires after three missed ones. */
    static final long OFFER_LIFETIME = 3 * AdmissionDurations.RESEND_INTERVAL;

    /** Distance of an owner, nearest first. */
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
    private final Set<FailureDomainId> mOutOfService = new HashSet<>();

    OfferTable(FailureDomainId failureDomain, String region) {
        mFailureDomain = failureDomain;
        mRegion = region;
    }

    void update(PoolOffer offer, long nowNanos) {
        Optional<PoolId> pool = PoolMessages.parse(offer.getPool());
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

    void setOutOfService(FailureDomainId domain, boolean outOfService) {
        if (outOfService) {
            mOutOfService.add(domain);
        } else {
            mOutOfService.remove(domain);
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
     * Takes one offered slot of this failure domain and returns its owner, so that between two
     * offers each free slot is demanded once.
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

    /** Records that this router returned a slot, which is free again at its owner. */
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
                && !mOutOfService.contains(entry.mFailureDomain);
    }
}
