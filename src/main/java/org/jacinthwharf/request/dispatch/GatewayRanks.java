package org.jacinthwharf.request.dispatch;

import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The rank of this gateway for each key, such as the id of a backend server, by rendezvous hash, so
 * that all gateways choose the same ones for it; and its fraction of what a few gateways may send,
 * by the same hash weighted with {@link DemandShares}.
 *
 * <p>Not thread-safe. Invariants: gateways with the same list give each rank to one of them; those
 * that also know the same demand have fractions that add up to 1.
 */
public final class GatewayRanks {
    /** Keys come and go; their ranks are computed again once so many are kept. */
    private static final int MAX_KEPT_RANKS = 20_000;

    private static final double HASH_RANGE = 0x1p64;

    private final String mSelf;
    private final Map<String, Integer> mRanks = new HashMap<>();
    private final DemandShares mShares = new DemandShares();
    private final Map<PartKey, Part> mParts = new HashMap<>();

    /** Hashes of the gateways by name. */
    private ImmutableMap<String, Long> mGatewayHashes = ImmutableMap.of();

    /** Creates ranks for the gateway with the given name, which has none before the first list. */
    public GatewayRanks(String self) {
        mSelf = self;
    }

    private record PartKey(String key, int senders) {}

    /**
     * What this gateway may send of what a few gateways share.
     *
     * @param current the fraction by the shares in force
     * @param previous the fraction by the shares before
     */
    private record Part(double current, double previous) {}

    /** The time that a gateway drew; the smallest ones are chosen. */
    private record Draw(String gateway, double time) {}

    /** Sets the gateways to choose from. */
    public void setGateways(List<String> gateways) {
        mRanks.clear();
        mParts.clear();
        mShares.setGateways(Set.copyOf(gateways));
        mGatewayHashes =
                gateways.stream()
                        .distinct()
                        .collect(ImmutableMap.toImmutableMap(g -> g, Rendezvous::hash));
    }

    int gateways() {
        return mGatewayHashes.size();
    }

    /** Sets the number of customers that are backlogged at each gateway. */
    public void setDemand(Map<String, Double> demand, long nowNanos) {
        if (mShares.setDemand(demand, nowNanos)) {
            mParts.clear();
        }
    }

    /**
     * Returns the fraction that this gateway may send of what a number of gateways, chosen for the
     * key with a preference for those with more demand, may send together; 0 if it is none of them.
     */
    double fraction(String key, int senders, long nowNanos) {
        Part part = part(key, senders);
        return mShares.isChanging(nowNanos)
                ? Math.min(part.current(), part.previous())
                : part.current();
    }

    /**
     * Returns since when the fraction is above 0, if it was 0 with the shares before; otherwise a
     * time long ago.
     */
    long senderSinceNanos(String key, int senders) {
        Part part = part(key, senders);
        return part.previous() == 0 ? mShares.settledNanos() : Long.MIN_VALUE / 2;
    }

    private Part part(String key, int senders) {
        if (mParts.size() >= MAX_KEPT_RANKS) {
            mParts.clear();
        }
        return mParts.computeIfAbsent(
                new PartKey(key, senders),
                k ->
                        new Part(
                                fraction(key, senders, mShares.current()),
                                fraction(key, senders, mShares.previous())));
    }

    /**
     * Chooses senders by weighted rendezvous hashing: each gateway draws an exponential time with
     * its share as rate, and the first ones are chosen.
     */
    private double fraction(String key, int senders, ImmutableMap<String, Double> shares) {
        Double own = shares.get(mSelf);
        if (own == null) {
            return 0;
        }
        long hash = Rendezvous.hash(key);
        List<Draw> chosen =
                shares.entrySet().stream()
                        .map(g -> new Draw(g.getKey(), drawnTime(hash, g.getKey(), g.getValue())))
                        .sorted(Comparator.comparingDouble(Draw::time))
                        .limit(senders)
                        .toList();
        if (chosen.stream().noneMatch(d -> d.gateway().equals(mSelf))) {
            return 0;
        }
        return own / chosen.stream().mapToDouble(d -> shares.get(d.gateway())).sum();
    }

    private double drawnTime(long keyHash, String gateway, double share) {
        long weight = Rendezvous.weight(keyHash, mGatewayHashes.get(gateway));
        double uniform = ((double) weight - Long.MIN_VALUE) / HASH_RANGE;
        return -Math.log1p(-Math.min(uniform, 1 - 0x1p-53)) / share;
    }

    /** Returns whether this gateway is the first of all. */
    public boolean isFirst(String key) {
        return rank(key) == 0;
    }

    /** Returns the rank of this gateway for a key, from 0; negative if it is not in the list. */
    int rank(String key) {
        if (mRanks.size() >= MAX_KEPT_RANKS) {
            mRanks.clear();
        }
        return mRanks.computeIfAbsent(key, this::computeRank);
    }

    private int computeRank(String key) {
        Long self = mGatewayHashes.get(mSelf);
        if (self == null) {
            return -1;
        }
        long hash = Rendezvous.hash(key);
        long weight = Rendezvous.weight(hash, self);
        return (int)
                mGatewayHashes.values().stream()
                        .filter(g -> Rendezvous.weight(hash, g) < weight)
                        .count();
    }
}
