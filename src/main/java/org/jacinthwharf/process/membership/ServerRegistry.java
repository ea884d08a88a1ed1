package org.jacinthwharf.process.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.process.membership.RegistryEvent.Cause;
import org.jacinthwharf.wire.generated.ServerAnnouncement;
import org.jacinthwharf.wire.generated.ServerState;

/**
 * The backend servers of one failure domain, as their announcements describe them.
 *
 * <p>Invariants: the incarnation of a server never falls, its sequence number grows within an
 * incarnation, and a server gets new work only if {@link #isEligibleForWork} holds. Not
 * thread-safe.
 */
public final class ServerRegistry {
    /** Age of the last announcement at which a server becomes suspect. */
    public static final long SUSPECT_NANOS = 5_000_000_000L;

    /** Age of the last announcement at which a server is removed. */
    public static final long REMOVE_NANOS = 15_000_000_000L;

    /** Announcements without a failed connection in between that end a suspicion. */
    private static final int RECOVERY_ANNOUNCEMENTS = 2;

    /** Removed servers whose incarnation is remembered, so that late announcements stay stale. */
    private static final int MAX_FORGOTTEN = 10_000;

    private static final class Entry {
        RegisteredServer mServer;
        boolean mSilent;
        boolean mFailing;
        int mAnnouncedSinceFailure;
        boolean mRestartedWhileOut;

        boolean isSuspect() {
            return mSilent || mFailing;
        }
    }

    private record Generation(long incarnation, long sequence) {}

    private final FailureDomainId mFailureDomain;
    private final TreeMap<BackendServerId, Entry> mEntries = new TreeMap<>();
    private final Map<BackendServerId, Generation> mForgotten =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<BackendServerId, Generation> eldest) {
                    return size() > MAX_FORGOTTEN;
                }
            };
    private boolean mOut;

    /** Creates an empty registry for the servers of {@code failureDomain}. */
    public ServerRegistry(FailureDomainId failureDomain) {
        mFailureDomain = failureDomain;
    }

    /** Takes over an announcement that was received at {@code nowNanos}. */
    public AnnounceOutcome onAnnouncement(ServerAnnouncement announcement, long nowNanos) {
        Optional<String> problem = AnnouncementCheck.problem(announcement, mFailureDomain);
        if (problem.isPresent()) {
            return new AnnounceOutcome.Refused(problem.get());
        }
        BackendServerId id = BackendServerId.of(announcement.getServer());
        if (isStale(id, announcement)) {
            return new AnnounceOutcome.Stale();
        }
        List<RegistryEvent> events = new ArrayList<>();
        Entry entry = mEntries.get(id);
        if (entry == null) {
            add(id, announcement, nowNanos, events);
        } else if (announcement.getIncarnation() > entry.mServer.announcement().getIncarnation()) {
            restart(entry, announcement, nowNanos, events);
        } else {
            update(entry, announcement, nowNanos, events);
        }
        return new AnnounceOutcome.Accepted(ImmutableList.copyOf(events));
    }

    private boolean isStale(BackendServerId id, ServerAnnouncement announcement) {
        Entry entry = mEntries.get(id);
        Generation known =
                entry == null ? mForgotten.get(id) : generation(entry.mServer.announcement());
        return known != null
                && (announcement.getIncarnation() < known.incarnation()
                        || (announcement.getIncarnation() == known.incarnation()
                                && announcement.getSequence() <= known.sequence()));
    }

    private void add(
            BackendServerId id, ServerAnnouncement a, long now, List<RegistryEvent> events) {
        Entry entry = new Entry();
        Generation known = mForgotten.remove(id);
        boolean restarted = known != null && a.getIncarnation() > known.incarnation();
        entry.mRestartedWhileOut = mOut && restarted;
        boolean cold = a.getState() == ServerState.COLD || restarted;
        entry.mServer = new RegisteredServer(id, a, now, cold, false);
        mEntries.put(id, entry);
        events.add(new RegistryEvent.Added(entry.mServer));
        if (a.getState() == ServerState.LEAVING) {
            events.add(new RegistryEvent.Leaving(entry.mServer));
        }
    }

    private void restart(Entry entry, ServerAnnouncement a, long now, List<RegistryEvent> events) {
        entry.mSilent = false;
        entry.mFailing = false;
        entry.mRestartedWhileOut = mOut;
        entry.mServer = new RegisteredServer(entry.mServer.id(), a, now, true, false);
        events.add(new RegistryEvent.Restarted(entry.mServer));
        if (a.getState() == ServerState.LEAVING) {
            events.add(new RegistryEvent.Leaving(entry.mServer));
        }
    }

    private void update(Entry entry, ServerAnnouncement a, long now, List<RegistryEvent> events) {
        RegisteredServer before = entry.mServer;
        boolean wasSuspect = entry.isSuspect();
        entry.mSilent = false;
        entry.mAnnouncedSinceFailure++;
        if (entry.mAnnouncedSinceFailure >= RECOVERY_ANNOUNCEMENTS) {
            entry.mFailing = false;
        }
        boolean cold =
                switch (a.getState()) {
                    case COLD -> true;
                    // Warmth that was announced without any load says nothing about the return.
                    case WARM -> mOut && entry.mRestartedWhileOut;
                    default -> before.cold();
                };
        entry.mServer = new RegisteredServer(before.id(), a, now, cold, entry.isSuspect());
        if (cold != before.cold()) {
            events.add(
                    cold
                            ? new RegistryEvent.TurnedCold(entry.mServer)
                            : new RegistryEvent.TurnedWarm(entry.mServer));
        }
        if (a.getState() == ServerState.LEAVING
                && before.announcement().getState() != ServerState.LEAVING) {
            events.add(new RegistryEvent.Leaving(entry.mServer));
        }
        if (wasSuspect && !entry.isSuspect()) {
            events.add(new RegistryEvent.Recovered(entry.mServer));
        }
        events.add(new RegistryEvent.Updated(entry.mServer));
    }

    /** Ages the servers; costs one pass over them. */
    public ImmutableList<RegistryEvent> onTick(long nowNanos) {
        ImmutableList.Builder<RegistryEvent> events = ImmutableList.builder();
        var entries = mEntries.values().iterator();
        while (entries.hasNext()) {
            Entry entry = entries.next();
            long age = nowNanos - entry.mServer.receivedNanos();
            if (age >= REMOVE_NANOS) {
                mForgotten.put(entry.mServer.id(), generation(entry.mServer.announcement()));
                events.add(new RegistryEvent.Removed(entry.mServer.id()));
                entries.remove();
            } else if (age >= SUSPECT_NANOS && !entry.mSilent) {
                entry.mSilent = true;
                suspect(entry, Cause.SILENT).ifPresent(events::add);
            }
        }
        return events.build();
    }

    /** Notes that a new connection to the server failed or gave no health answer. */
    public ImmutableList<RegistryEvent> onConnectionFailed(BackendServerId server) {
        Entry entry = mEntries.get(server);
        if (entry == null) {
            return ImmutableList.of();
        }
        entry.mAnnouncedSinceFailure = 0;
        entry.mFailing = true;
        return suspect(entry, Cause.CONNECTION_FAILED)
                .map(ImmutableList::of)
                .orElse(ImmutableList.of());
    }

    /** Notes that a new connection to the server worked. */
    public ImmutableList<RegistryEvent> onConnectionWorked(BackendServerId server) {
        Entry entry = mEntries.get(server);
        if (entry == null || !entry.mFailing) {
            return ImmutableList.of();
        }
        entry.mFailing = false;
        entry.mServer = withSuspect(entry.mServer, entry.isSuspect());
        return entry.isSuspect()
                ? ImmutableList.of()
                : ImmutableList.of(new RegistryEvent.Recovered(entry.mServer));
    }

    /** Takes the failure domain out of service or puts it back. */
    public ImmutableList<RegistryEvent> setDomainOut(boolean out) {
        if (mOut == out) {
            return ImmutableList.of();
        }
        mOut = out;
        if (out) {
            mEntries.values().forEach(entry -> entry.mRestartedWhileOut = false);
        }
        return ImmutableList.of(new RegistryEvent.DomainOut(out));
    }

    /** Returns whether the server is known, in service, not suspect and not leaving. */
    public boolean isEligibleForWork(BackendServerId server) {
        Entry entry = mEntries.get(server);
        return !mOut
                && entry != null
                && !entry.isSuspect()
                && entry.mServer.announcement().getState() != ServerState.LEAVING;
    }

    /** Returns all known servers. */
    public ImmutableMap<BackendServerId, RegisteredServer> servers() {
        ImmutableMap.Builder<BackendServerId, RegisteredServer> servers = ImmutableMap.builder();
        mEntries.forEach((id, entry) -> servers.put(id, entry.mServer));
        return servers.build();
    }

    private static Optional<RegistryEvent> suspect(Entry entry, Cause cause) {
        if (entry.mServer.suspect()) {
            return Optional.empty();
        }
        entry.mServer = withSuspect(entry.mServer, true);
        return Optional.of(new RegistryEvent.Suspected(entry.mServer, cause));
    }

    private static RegisteredServer withSuspect(RegisteredServer server, boolean suspect) {
        return new RegisteredServer(
                server.id(), server.announcement(), server.receivedNanos(), server.cold(), suspect);
    }

    private static Generation generation(ServerAnnouncement announcement) {
        return new Generation(announcement.getIncarnation(), announcement.getSequence());
    }
}
