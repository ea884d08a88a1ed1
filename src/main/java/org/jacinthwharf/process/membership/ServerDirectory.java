package org.jacinthwharf.process.membership;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerStatus;

/**
 * What one process knows of all backend servers, merged from records that may be late or repeated.
 *
 * <p>Invariants: of two records about one server the one with the later start counts, then the one
 * with the higher sequence number; a server that was draining or gone does not serve again in the
 * same life; of two servers at one address the one that started later counts. So a record that was
 * held up by a partition changes nothing. Not thread-safe.
 */
public final class ServerDirectory {
    /**
     * A server that was gone is remembered this long, so that late records cannot bring it back.
     */
    private static final long TOMBSTONE_NANOS = 120_000_000_000L;

    private static final long MILLI_NANOS = 1_000_000L;

    private final Map<String, Entry> mServers = new HashMap<>();

    /**
     * One server.
     *
     * @param record the newest record; its times are those of its arrival
     * @param lastReceivedNanos when the server last said something, on the clock of this process
     * @param coldUntilNanos when the server stops being cold, on the clock of this process
     */
    public record Entry(ServerRecord record, long lastReceivedNanos, long coldUntilNanos) {
        /** Returns the record as it has to be sent now. */
        public ServerRecord toMessage(long nowNanos) {
            return record.toBuilder()
                    .setAgeMillis(Math.max(0, nowNanos - lastReceivedNanos) / MILLI_NANOS)
                    .setColdLeftMillis(Math.max(0, coldUntilNanos - nowNanos) / MILLI_NANOS)
                    .build();
        }
    }

    /** What a record changed. */
    public enum Change {
        /** The record is older than what is known. */
        NONE,
        /** The server was heard from; nothing that decides about sending changed. */
        REFRESHED,
        /** The server is new, or something that decides about sending changed. */
        CHANGED
    }

    /** Merges a record that arrived now. */
    public Change merge(ServerRecord record, long nowNanos) {
        Entry known = mServers.get(record.getServer());
        long heard = nowNanos - record.getAgeMillis() * MILLI_NANOS;
        long coldUntil = nowNanos + record.getColdLeftMillis() * MILLI_NANOS;
        if (known == null || known.record().getBornMillis() < record.getBornMillis()) {
            if (isSupersededAtAddress(record)) {
                return Change.NONE;
            }
            put(record, heard, coldUntil);
            return Change.CHANGED;
        }
        if (known.record().getBornMillis() > record.getBornMillis()) {
            return Change.NONE;
        }
        ServerStatus status = later(known.record().getStatus(), record.getStatus());
        boolean newer = record.getSequence() > known.record().getSequence();
        if (!newer && status == known.record().getStatus()) {
            return Change.NONE;
        }
        ServerRecord base = newer && !record.getAddress().isEmpty() ? record : known.record();
        long sequence = Math.max(record.getSequence(), known.record().getSequence());
        ServerRecord merged = base.toBuilder().setSequence(sequence).setStatus(status).build();
        put(
                merged,
                newer ? Math.max(heard, known.lastReceivedNanos()) : known.lastReceivedNanos(),
                newer ? coldUntil : known.coldUntilNanos());
        return isSameForSending(known.record(), merged) ? Change.REFRESHED : Change.CHANGED;
    }

    /**
     * Marks a server as gone that said so itself.
     *
     * @return the record to pass on, or empty if the server is unknown or has started anew
     */
    public Optional<ServerRecord> leave(String server, long bornMillis, long nowNanos) {
        Entry known = mServers.get(server);
        if (known == null || (bornMillis > 0 && known.record().getBornMillis() > bornMillis)) {
            return Optional.empty();
        }
        ServerRecord gone = known.record().toBuilder().setStatus(ServerStatus.GONE).build();
        put(gone, nowNanos, known.coldUntilNanos());
        return Optional.of(gone);
    }

    private void put(ServerRecord record, long lastReceivedNanos, long coldUntilNanos) {
        mServers.put(record.getServer(), new Entry(record, lastReceivedNanos, coldUntilNanos));
    }

    private boolean isSupersededAtAddress(ServerRecord record) {
        return mServers.values().stream()
                .map(Entry::record)
                .filter(r -> r.getAddress().equals(record.getAddress()))
                .anyMatch(r -> r.getBornMillis() > record.getBornMillis());
    }

    private static ServerStatus later(ServerStatus a, ServerStatus b) {
        return a.getNumber() >= b.getNumber() ? a : b;
    }

    private static boolean isSameForSending(ServerRecord a, ServerRecord b) {
        boolean cold = a.getColdLeftMillis() > 0;
        return a.getStatus() == b.getStatus()
                && a.getAddress().equals(b.getAddress())
                && a.getService().equals(b.getService())
                && a.getVersion().equals(b.getVersion())
                && a.getSlots() == b.getSlots()
                && cold == b.getColdLeftMillis() > 0;
    }

    /** Forgets servers that have long been gone. */
    public void expire(long nowNanos) {
        mServers.values()
                .removeIf(
                        e ->
                                e.record().getStatus() == ServerStatus.GONE
                                        && nowNanos - e.lastReceivedNanos() > TOMBSTONE_NANOS);
    }

    /** Returns what is known of a server. */
    public Optional<Entry> find(String server) {
        return Optional.ofNullable(mServers.get(server));
    }

    /** Returns all servers, also those that are gone. */
    public ImmutableList<Entry> entries() {
        return ImmutableList.copyOf(mServers.values());
    }
}
