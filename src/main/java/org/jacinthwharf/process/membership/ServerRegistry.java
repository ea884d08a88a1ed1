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
 * Tracks the backend servers of one failure domain by their announcements.
 *
 * <p>Invariants: the incarnation of a server never decreases, its sequence number increases within
 * an incarnation, and a server gets new work only if {@link #isEligibleForWork} holds. Not
 * thread-safe.
 */
public final class ServerRegistry {
    /** Age of the last announcement at which a server becomes suspect. */
    public static final long SUSPECT_AGE_NANOS = 5_000_000_000L;

    /** Age of the last announcement at which a server is removed. */
    public static final long REMOVAL_AGE_NANOS = 15_000_000_000L;

    /** Number of announcements without a failed connection after which a server recovers. */
    private static final int RECOVERY_ANNOUNCEMENTS = 2;

    /** Maximum number of removed servers that are kept to detect late announcements. */
    private static final int MAX_TOMBSTONES = 10_000;

    private static final class Entry {
        RegisteredServer mServer;
        boolean mSilent;
        boolean mConnectionFailing;
        int mAnnouncementsSinceFailure;
        boolean mRestartedWhileOutOfService;

        boolean isSuspect() {
            return mSilent || mConnectionFailing;
        }
    }

    private record AnnouncementVersion(long incarnation, long sequence) {}

    private final FailureDomainId mFailureDomain;
    private final TreeMap<BackendServerId, Entry> mEntries = new TreeMap<>();
    private final Map<BackendServerId, AnnouncementVersion> mTombstones =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(
                        Map.Entry<BackendServerId, AnnouncementVersion> eldest) {
                    return size() > MAX_TOMBSTONES;
                }
            };
    private boolean mOutOfService;

    /** Creates an empty registry for the servers of {@code failureDomain}. */
    public ServerRegistry(FailureDomainId failureDomain) {
        mFailureDomain = failureDomain;
    }

    /** Handles an announcement received at {@code nowNanos}. */
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
        AnnouncementVersion last =
                entry == null ? mTombstones.get(id) : versionOf(entry.mServer.announcement());
        return last != null
                && (announcement.getIncarnation() < last.incarnation()
                        || (announcement.getIncarnation() == last.incarnation()
                                && announcement.getSequence() <= last.sequence()));
    }

    private void add(
            BackendServerId id, ServerAnnouncement a, long now, List<RegistryEvent> events) {
        Entry entry = new Entry();
        AnnouncementVersion last = mTombstones.remove(id);
        boolean restarted = last != null && a.getIncarnation() > last.incarnation();
        entry.mRestartedWhileOutOfService = mOutOfService && restarted;
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
        entry.mConnectionFailing = false;
        entry.mRestartedWhileOutOfService = mOutOfService;
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
        entry.mAnnouncementsSinceFailure++;
        if (entry.mAnnouncementsSinceFailure >= RECOVERY_ANNOUNCEMENTS) {
            entry.mConnectionFailing = false;
        }
        boolean cold =
                switch (a.getState()) {
                    case COLD -> true;
                    // A server that warmed up without load is not warm when the domain returns to
                    // service.
                    case WARM -> mOutOfService && entry.mRestartedWhileOutOfService;
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

    /** Suspects or removes servers whose announcements stopped; iterates over all servers. */
    public ImmutableList<RegistryEvent> onTick(long nowNanos) {
        ImmutableList.Builder<RegistryEvent> events = ImmutableList.builder();
        var entries = mEntries.values().iterator();
        while (entries.hasNext()) {
            Entry entry = entries.next();
            long age = nowNanos - entry.mServer.receivedNanos();
            if (age >= REMOVAL_AGE_NANOS) {
                mTombstones.put(entry.mServer.id(), versionOf(entry.mServer.announcement()));
                events.add(new RegistryEvent.Removed(entry.mServer.id()));
                entries.remove();
            } else if (age >= SUSPECT_AGE_NANOS && !entry.mSilent) {
                entry.mSilent = true;
                suspect(entry, Cause.SILENT).ifPresent(events::add);
            }
        }
        return events.build();
    }

    /** Records that a new connection to the server failed or got no answer to its health check. */
    public ImmutableList<RegistryEvent> onConnectionFailed(BackendServerId server) {
        Entry entry = mEntries.get(server);
        if (entry == null) {
            return ImmutableList.of();
        }
        entry.mAnnouncementsSinceFailure = 0;
        entry.mConnectionFailing = true;
        return suspect(entry, Cause.CONNECTION_FAILED)
                .map(ImmutableList::of)
                .orElse(ImmutableList.of());
    }

    /** Records that a new connection to the server succeeded. */
    public ImmutableList<RegistryEvent> onConnectionSucceeded(BackendServerId server) {
        Entry entry = mEntries.get(server);
        if (entry == null || !entry.mConnectionFailing) {
            return ImmutableList.of();
        }
        entry.mConnectionFailing = false;
        entry.mServer = withSuspect(entry.mServer, entry.isSuspect());
        return entry.isSuspect()
                ? ImmutableList.of()
                : ImmutableList.of(new RegistryEvent.Recovered(entry.mServer));
    }

    /** Takes the failure domain out of service or returns it to service. */
    public ImmutableList<RegistryEvent> setOutOfService(boolean out) {
        if (mOutOfService == out) {
            return ImmutableList.of();
        }
        mOutOfService = out;
        if (out) {
            mEntries.values().forEach(entry -> entry.mRestartedWhileOutOfService = false);
        }
        return ImmutableList.of(new RegistryEvent.DomainOut(out));
    }

    /** Returns whether the server is registered, in service, not suspect and not leaving. */
    public boolean isEligibleForWork(BackendServerId server) {
        Entry entry = mEntries.get(server);
        return !mOutOfService
                && entry != null
                && !entry.isSuspect()
                && entry.mServer.announcement().getState() != ServerState.LEAVING;
    }

    /** Returns all registered servers. */
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

    private static AnnouncementVersion versionOf(ServerAnnouncement announcement) {
        return new AnnouncementVersion(announcement.getIncarnation(), announcement.getSequence());
    }
}
