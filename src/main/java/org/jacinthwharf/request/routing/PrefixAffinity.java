package org.jacinthwharf.request.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.id.BackendServerId;

/**
 * Chooses, among the servers of granted slots, the one most likely to have a prompt's prefix
 * cached.
 *
 * <p>Invariants: the choice is always one of the given servers, so a cache hint can neither bypass
 * fairness among customers nor exceed a limit. Events older than {@link #MAX_AGE_NANOS} are
 * ignored. A gap in a server's events invalidates its earlier ones, since an eviction may be among
 * the lost events.
 *
 * <p>Memory: at most {@link #MAX_SERVERS} servers and {@link #MAX_PREFIXES_PER_SERVER} prefixes of
 * each, with LRU eviction; about 7 MB at the bound.
 *
 * <p>Not thread-safe; used on the event loop. A choice takes time linear in the number of servers.
 */
public final class PrefixAffinity {
    /** Age from which an event is ignored; engines report late, and caches are small. */
    public static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Exceeds the number of servers from which a router of a failure domain gets slots. */
    static final int MAX_SERVERS = 512;

    static final int MAX_PREFIXES_PER_SERVER = 128;

    private final Map<BackendServerId, ServerCache> mServers = lruMap(MAX_SERVERS);

    /** Records an event; ignores duplicates and events of an earlier incarnation. */
    public void onCacheEvent(CacheEvent event, long nowNanos) {
        ServerCache cache = mServers.computeIfAbsent(event.server(), s -> new ServerCache());
        cache.apply(event, nowNanos);
    }

    /** Removes all cached prefixes of a server that left. */
    public void forget(BackendServerId server) {
        mServers.remove(server);
    }

    /**
     * Returns the server to use: the one that reported the prefix most recently, or else the one
     * with the highest rendezvous hash.
     *
     * @throws IllegalArgumentException if {@code granted} is empty
     */
    public BackendServerId choose(PrefixKey prefix, List<BackendServerId> granted, long nowNanos) {
        checkArgument(!granted.isEmpty(), "no granted slot for prefix %s", prefix);
        BackendServerId newest = null;
        long smallestAge = MAX_AGE_NANOS;
        for (BackendServerId s : granted) {
            ServerCache cache = mServers.get(s);
            Long cachedAt = cache == null ? null : cache.mCachedAt.get(prefix);
            if (cachedAt != null && nowNanos - cachedAt < smallestAge) {
                smallestAge = nowNanos - cachedAt;
                newest = s;
            }
        }
        return newest != null ? newest : byRendezvous(prefix, granted);
    }

    int prefixCount() {
        return mServers.values().stream().mapToInt(c -> c.mCachedAt.size()).sum();
    }

    private static BackendServerId byRendezvous(PrefixKey prefix, List<BackendServerId> granted) {
        return granted.stream()
                .max(
                        Comparator.<BackendServerId>comparingLong(prefix::weight)
                                .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    private static <K, V> Map<K, V> lruMap(int maxSize) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > maxSize;
            }
        };
    }

    /** The prefixes that one server reported since the last gap in its events. */
    private static final class ServerCache {
        private final Map<PrefixKey, Long> mCachedAt = lruMap(MAX_PREFIXES_PER_SERVER);
        private long mIncarnation;
        private long mSequence;

        void apply(CacheEvent event, long nowNanos) {
            boolean restarted = event.incarnation() > mIncarnation;
            if (event.incarnation() < mIncarnation
                    || (!restarted && event.sequence() <= mSequence)) {
                return;
            }
            if (restarted || event.sequence() != mSequence + 1) {
                mCachedAt.clear();
            }
            mIncarnation = event.incarnation();
            mSequence = event.sequence();
            if (event.cached()) {
                mCachedAt.put(event.prefix(), nowNanos);
            } else {
                mCachedAt.remove(event.prefix());
            }
        }
    }
}
