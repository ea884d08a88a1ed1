package org.jacinthwharf.process.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.connection.ServerAddress;
import org.jacinthwharf.id.RequestId;

/**
 * Limits how often connections to a server are replaced because they have carried the id of a
 * request: for each id, so that one that is sent over and over is refused before others, and for
 * each server, so that many such ids do not cost it a connection each time.
 *
 * <p>Not thread-safe. Memory is bounded by the replacements of the last seconds. Generic cell rate
 * algorithm (ITU-T I.371).
 */
final class ReplacementRate {
    /** Replacements at a server. */
    static final Rate SERVER_RATE = new Rate(50, 50);

    /** Replacements for an id; callers repeat a request a few times. */
    static final Rate ID_RATE = new Rate(5, 10);

    private final Map<ServerAddress, Long> mServers = new HashMap<>();
    private final Map<SentId, Long> mIds = new HashMap<>();

    /** Replacements a second, and at once after a time without any. */
    record Rate(int perSecond, int burst) {
        private long intervalNanos() {
            return TimeUnit.SECONDS.toNanos(1) / perSecond;
        }

        private boolean allows(Long usedUntilNanos, long nowNanos) {
            return usedUntilNanos == null
                    || usedUntilNanos - nowNanos <= intervalNanos() * (burst - 1);
        }

        /** Returns when the replacements so far are used up at this rate. */
        private long use(Long usedUntilNanos, long nowNanos) {
            boolean unused = usedUntilNanos == null || usedUntilNanos - nowNanos < 0;
            return (unused ? nowNanos : usedUntilNanos) + intervalNanos();
        }
    }

    /** An id at a server; the hash bounds the memory, and a wrong match refuses a request. */
    private record SentId(ServerAddress server, int idHash) {
        static SentId of(ServerAddress server, RequestId id) {
            return new SentId(server, id.value().hashCode());
        }
    }

    /** Returns whether a connection to a server may be replaced for an id now. */
    boolean allows(ServerAddress server, RequestId id, long nowNanos) {
        return SERVER_RATE.allows(mServers.get(server), nowNanos)
                && ID_RATE.allows(mIds.get(SentId.of(server, id)), nowNanos);
    }

    /** Counts a replaced connection. */
    void onReplaced(ServerAddress server, RequestId id, long nowNanos) {
        mServers.compute(server, (s, used) -> SERVER_RATE.use(used, nowNanos));
        mIds.compute(SentId.of(server, id), (s, used) -> ID_RATE.use(used, nowNanos));
    }

    /** Forgets what is unused. */
    void removeExpired(long nowNanos) {
        mServers.values().removeIf(usedUntil -> usedUntil - nowNanos < 0);
        mIds.values().removeIf(usedUntil -> usedUntil - nowNanos < 0);
    }
}
