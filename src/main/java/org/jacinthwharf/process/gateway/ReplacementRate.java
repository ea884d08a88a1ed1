package org.jacinthwharf.process.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.connection.ServerAddress;

/**
 * Limits how often connections to a server are replaced because they have carried the id of a
 * request, so that an id that is sent over and over does not cost the server a connection each
 * time.
 *
 * <p>Not thread-safe. Memory is one entry for each server with a replacement in the last second.
 * Generic cell rate algorithm (ITU-T I.371).
 */
final class ReplacementRate {
    /** A server spends about 1 ms on a connection, so this takes 5% of the time of one slot. */
    static final int PER_SECOND = 50;

    /** Replacements at once after a second without any. */
    static final int BURST = PER_SECOND;

    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1) / PER_SECOND;
    private static final long BURST_NANOS = INTERVAL_NANOS * (BURST - 1);

    /** When the connections replaced so far are used up, at the limit's rate. */
    private final Map<ServerAddress, Long> mUsedUntilNanos = new HashMap<>();

    /** Returns whether a connection to a server may be replaced now. */
    boolean allows(ServerAddress server, long nowNanos) {
        Long usedUntil = mUsedUntilNanos.get(server);
        return usedUntil == null || usedUntil - nowNanos <= BURST_NANOS;
    }

    /** Counts a replaced connection. */
    void onReplaced(ServerAddress server, long nowNanos) {
        Long usedUntil = mUsedUntilNanos.get(server);
        long from = usedUntil == null || usedUntil - nowNanos < 0 ? nowNanos : usedUntil;
        mUsedUntilNanos.put(server, from + INTERVAL_NANOS);
    }

    /** Forgets servers whose limit is unused. */
    void removeExpired(long nowNanos) {
        mUsedUntilNanos.values().removeIf(usedUntil -> usedUntil - nowNanos < 0);
    }
}
