package org.jacinthwharf.process.membership;

import com.google.common.collect.ImmutableList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerStatus;
import org.jspecify.annotations.Nullable;

/**
 * A directory of all backend servers, merged from records that may be late or repeated.
 *
 * <p>Invariants: of two records of one server, the one with the later start wins, then the one with
 * the higher sequence number; a server that was draining or gone does not serve again in the same
 * incarnation; a server is not added if a server that started later has the same address. Outdated
 * records therefore change nothing. The records have at most {@link #MAX_BYTES} together; beyond
 * that the servers are forgotten that have not been heard of for longest, which sound servers are
 * not. Not thread-safe.
 */
public final class ServerDirectory {
    /** Time for which a server that is gone is kept, so that late records cannot restore it. */
    private static final long TOMBSTONE_NANOS = 120_000_000_000L;

    /**
     * Time without an announcement after which a server is forgotten. Far longer than a cut, since
     * a server that crashed stops being sent requests without this; it only frees memory.
     */
    public static final long SILENCE_NANOS = 600_000_000_000L;

    /**
     * Three times the records of the 10,000 servers designed for; another writer may add entries of
     * 64 KB.
     */
    static final long MAX_BYTES = 8L << 20;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** In the order of their last changes. */
    private final Map<String, Entry> mServers = new LinkedHashMap<>();

    private final Consumer<String> mOnForgotten;
    private long mBytes;

    /**
     * Creates an empty directory.
     *
     * @param onForgotten receives the ids of servers that are forgotten for want of room
     */
    public ServerDirectory(Consumer<String> onForgotten) {
        mOnForgotten = onForgotten;
    }

    /**
     * The state of one server.
     *
     * @param record the newest record; its relative times refer to the time of receipt
     * @param lastReceivedNanos time of the server's last announcement, converted to the clock of
     *     this process
     * @param coldUntilNanos end of the server's cold start, on the clock of this process
     */
    public record Entry(ServerRecord record, long lastReceivedNanos, long coldUntilNanos) {
        /** Returns the record with its relative times as of {@code nowNanos}, ready to be sent. */
        public ServerRecord toMessage(long nowNanos) {
            return record.toBuilder()
                    .setAgeMillis(Math.max(0, nowNanos - lastReceivedNanos) / NANOS_PER_MILLI)
                    .setColdLeftMillis(Math.max(0, coldUntilNanos - nowNanos) / NANOS_PER_MILLI)
                    .build();
        }
    }

    /** The effect of a record. */
    public enum Change {
        /** The record is outdated; nothing changed. */
        NONE,
        /** The record is newer, but no field that affects routing changed. */
        REFRESHED,
        /** The server is new, or a field that affects routing changed. */
        CHANGED
    }

    /** Merges a record received at {@code nowNanos}. */
    public Change merge(ServerRecord record, long nowNanos) {
        Entry known = mServers.get(record.getServer());
        long received = nowNanos - record.getAgeMillis() * NANOS_PER_MILLI;
        long coldUntil = nowNanos + record.getColdLeftMillis() * NANOS_PER_MILLI;
        if (known == null || known.record().getBornMillis() < record.getBornMillis()) {
            if (isSupersededAtAddress(record)) {
                return Change.NONE;
            }
            put(record, received, coldUntil);
            return Change.CHANGED;
        }
        if (known.record().getBornMillis() > record.getBornMillis()) {
            return Change.NONE;
        }
        ServerStatus status = moreAdvanced(known.record().getStatus(), record.getStatus());
        boolean newer = record.getSequence() > known.record().getSequence();
        if (!newer && status == known.record().getStatus()) {
            return Change.NONE;
        }
        ServerRecord base = newer && !record.getAddress().isEmpty() ? record : known.record();
        long sequence = Math.max(record.getSequence(), known.record().getSequence());
        ServerRecord merged = base.toBuilder().setSequence(sequence).setStatus(status).build();
        put(
                merged,
                newer ? Math.max(received, known.lastReceivedNanos()) : known.lastReceivedNanos(),
                newer ? coldUntil : known.coldUntilNanos());
        return isSameForRouting(known.record(), merged) ? Change.REFRESHED : Change.CHANGED;
    }

    /**
     * Marks a server as gone that announced its departure.
     *
     * @return the record to forward, or empty if the server is unknown or has restarted since
     */
    public Optional<ServerRecord> markGone(String server, long bornMillis, long nowNanos) {
        Entry known = mServers.get(server);
        if (known == null || (bornMillis > 0 && known.record().getBornMillis() > bornMillis)) {
            return Optional.empty();
        }
        ServerRecord gone = known.record().toBuilder().setStatus(ServerStatus.GONE).build();
        put(gone, nowNanos, known.coldUntilNanos());
        return Optional.of(gone);
    }

    private void put(ServerRecord record, long lastReceivedNanos, long coldUntilNanos) {
        onRemoved(mServers.remove(record.getServer()));
        mServers.put(record.getServer(), new Entry(record, lastReceivedNanos, coldUntilNanos));
        mBytes += record.getSerializedSize();
        Iterator<Entry> oldest = mServers.values().iterator();
        while (mBytes > MAX_BYTES && mServers.size() > 1) {
            Entry forgotten = oldest.next();
            oldest.remove();
            onRemoved(forgotten);
            mOnForgotten.accept(forgotten.record().getServer());
        }
    }

    private void onRemoved(@Nullable Entry entry) {
        if (entry != null) {
            mBytes -= entry.record().getSerializedSize();
        }
    }

    private boolean isSupersededAtAddress(ServerRecord record) {
        return mServers.values().stream()
                .map(Entry::record)
                .filter(r -> r.getAddress().equals(record.getAddress()))
                .anyMatch(r -> r.getBornMillis() > record.getBornMillis());
    }

    private static ServerStatus moreAdvanced(ServerStatus a, ServerStatus b) {
        return a.getNumber() >= b.getNumber() ? a : b;
    }

    private static boolean isSameForRouting(ServerRecord a, ServerRecord b) {
        boolean cold = a.getColdLeftMillis() > 0;
        return a.getStatus() == b.getStatus()
                && a.getAddress().equals(b.getAddress())
                && a.getService().equals(b.getService())
                && a.getVersion().equals(b.getVersion())
                && a.getSlots() == b.getSlots()
                && cold == b.getColdLeftMillis() > 0;
    }

    /** Removes expired tombstones of servers that are gone, and servers that went silent. */
    public void expire(long nowNanos) {
        mServers.values()
                .removeIf(
                        e -> {
                            boolean expired = nowNanos - e.lastReceivedNanos() > lifetimeNanos(e);
                            if (expired) {
                                onRemoved(e);
                            }
                            return expired;
                        });
    }

    private static long lifetimeNanos(Entry e) {
        return e.record().getStatus() == ServerStatus.GONE ? TOMBSTONE_NANOS : SILENCE_NANOS;
    }

    /** Returns the entry of a server, if there is one. */
    public Optional<Entry> find(String server) {
        return Optional.ofNullable(mServers.get(server));
    }

    /** Returns all servers, including those that are gone. */
    public ImmutableList<Entry> entries() {
        return ImmutableList.copyOf(mServers.values());
    }
}
