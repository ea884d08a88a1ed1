package org.jacinthwharf.process.control;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.id.LogText;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.membership.ServerDirectory;
import org.jacinthwharf.process.membership.ServerRecordCheck;
import org.jacinthwharf.wire.generated.DirectoryUpdate;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerStatus;

/**
 * Receives announcements of backend servers and forwards them to members and gateways.
 *
 * <p>Used on the event loop only. Invariants: changes that affect the placement of requests are
 * forwarded at once, refreshed records in batches; an announcement that a server is leaving is
 * acknowledged once every linked process has it, or after {@link #ACK_TIMEOUT}.
 */
public final class DirectoryService {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Below the one second that a server waits for its acknowledgement. */
    private static final Duration ACK_TIMEOUT = Duration.ofMillis(600);

    /** Time in which a member that starts gets the directory of others, or all announcements. */
    private static final Duration DISCOVERY_TIME = Duration.ofSeconds(5);

    private static final Duration BATCH_INTERVAL = Duration.ofMillis(500);

    private final ServerDirectory mDirectory =
            new ServerDirectory(
                    id ->
                            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                                    "event=directory_full forgotten=%s", LogText.of(id)));
    private final Map<Link, Subscriber> mSubscribers = new LinkedHashMap<>();
    private final Set<String> mRefreshed = new HashSet<>();
    private final Set<String> mRefreshedByMembers = new HashSet<>();
    private final Predicate<Link> mIsRelayFor;
    private final EventLoop mLoop;
    private final long mStartNanos;

    /** The updates that were sent to one linked process. */
    private static final class Subscriber {
        long mLastSentNumber;
        long mLastAckedNumber;
        final Map<Long, List<PendingAck>> mPendingAcks = new HashMap<>();
    }

    /** An acknowledgement to a server that depends on those of several processes. */
    private static final class PendingAck {
        final CompletableFuture<Void> mDone = new CompletableFuture<>();
        int mOutstanding;

        void onAcknowledged() {
            if (--mOutstanding <= 0) {
                mDone.complete(null);
            }
        }
    }

    /**
     * Creates a service with an empty directory.
     *
     * @param isRelayFor whether this member relays load to the gateway at the other end of a link
     */
    DirectoryService(Predicate<Link> isRelayFor, EventLoop loop) {
        mIsRelayFor = isRelayFor;
        mLoop = loop;
        mStartNanos = loop.nowNanos();
    }

    void start() {
        mLoop.scheduleRepeatedly(BATCH_INTERVAL, this::sendRefreshed);
    }

    /**
     * Merges an announcement of a server.
     *
     * @return a future that completes when the announcement may be acknowledged
     */
    public CompletableFuture<Void> announce(ServerRecord record) {
        long now = mLoop.nowNanos();
        ServerDirectory.Change change = mDirectory.merge(record, now);
        boolean leaving = record.getStatus() != ServerStatus.SERVING;
        if (change == ServerDirectory.Change.CHANGED) {
            log("server_announced", record);
            return forward(find(record.getServer(), now), mSubscribers.keySet(), leaving);
        }
        if (change == ServerDirectory.Change.REFRESHED) {
            mRefreshed.add(record.getServer());
        }
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Records that an incarnation of a server is gone.
     *
     * @return a future that completes when the server's message may be acknowledged; with false if
     *     it must not be, since this member has started just now and does not know the server yet
     */
    public CompletableFuture<Boolean> deregister(String server, long bornMillis) {
        long now = mLoop.nowNanos();
        Optional<ServerRecord> removed = mDirectory.markGone(server, bornMillis, now);
        if (removed.isEmpty()) {
            boolean mayBeElsewhere =
                    mDirectory.find(server).isEmpty()
                            && now - mStartNanos < DISCOVERY_TIME.toNanos();
            return CompletableFuture.completedFuture(!mayBeElsewhere);
        }
        log("server_left", removed.get());
        return forward(removed.get(), mSubscribers.keySet(), true).thenApply(v -> true);
    }

    /** Returns whether any server of a service is known to run a version. */
    boolean runs(String service, String version) {
        return mDirectory.entries().stream()
                .map(ServerDirectory.Entry::record)
                .anyMatch(
                        r ->
                                r.getStatus() != ServerStatus.GONE
                                        && r.getService().equals(service)
                                        && r.getVersion().equals(version));
    }

    /**
     * Returns whether all servers of a service that are known to run have a version. False while
     * this member may not know all of them yet.
     */
    boolean runsOnly(String service, String version) {
        if (mLoop.nowNanos() - mStartNanos < DISCOVERY_TIME.toNanos()) {
            return false;
        }
        List<ServerRecord> running =
                mDirectory.entries().stream()
                        .map(ServerDirectory.Entry::record)
                        .filter(r -> r.getService().equals(service))
                        .filter(r -> r.getStatus() != ServerStatus.GONE)
                        .toList();
        return !running.isEmpty() && running.stream().allMatch(r -> r.getVersion().equals(version));
    }

    /** Returns all servers, including those that are gone. */
    ImmutableList<ServerDirectory.Entry> entries() {
        return mDirectory.entries();
    }

    private ServerRecord find(String server, long now) {
        return mDirectory.find(server).orElseThrow().toMessage(now);
    }

    private CompletableFuture<Void> forward(
            ServerRecord record, Collection<Link> links, boolean awaitAcks) {
        PendingAck pending = new PendingAck();
        for (Link link : ImmutableList.copyOf(links)) {
            long number = send(link, List.of(record));
            if (awaitAcks && number > 0) {
                pending.mOutstanding++;
                mSubscribers
                        .get(link)
                        .mPendingAcks
                        .computeIfAbsent(number, n -> new ArrayList<>())
                        .add(pending);
            }
        }
        if (pending.mOutstanding == 0) {
            return CompletableFuture.completedFuture(null);
        }
        mLoop.schedule(ACK_TIMEOUT, () -> pending.mDone.complete(null));
        return pending.mDone;
    }

    private long send(Link link, List<ServerRecord> records) {
        Subscriber s = mSubscribers.get(link);
        DirectoryUpdate update =
                DirectoryUpdate.newBuilder()
                        .setNumber(s.mLastSentNumber + 1)
                        .addAllRecords(records)
                        .build();
        if (!link.send(Envelope.newBuilder().setDirectoryUpdate(update).build())) {
            return 0;
        }
        return ++s.mLastSentNumber;
    }

    void sendRefreshed() {
        long now = mLoop.nowNanos();
        mDirectory.expire(now);
        sendRecords(mRefreshed, mSubscribers.keySet(), now);
        mRefreshedByMembers.removeAll(mRefreshed);
        mRefreshed.clear();
        sendRecords(
                mRefreshedByMembers,
                mSubscribers.keySet().stream().filter(mIsRelayFor).toList(),
                now);
        mRefreshedByMembers.clear();
    }

    private void sendRecords(Set<String> servers, Collection<Link> links, long now) {
        List<ServerRecord> records =
                servers.stream()
                        .flatMap(id -> mDirectory.find(id).stream())
                        .map(e -> e.toMessage(now))
                        .toList();
        if (!records.isEmpty()) {
            links.forEach(l -> send(l, records));
        }
    }

    void onUp(Link link) {
        mSubscribers.put(link, new Subscriber());
        long now = mLoop.nowNanos();
        List<ServerRecord> all = mDirectory.entries().stream().map(e -> e.toMessage(now)).toList();
        if (!all.isEmpty()) {
            send(link, all);
        }
    }

    void onDown(Link link) {
        Subscriber removed = mSubscribers.remove(link);
        if (removed != null) {
            removed.mPendingAcks.values().forEach(acks -> acks.forEach(PendingAck::onAcknowledged));
        }
    }

    void onAck(Link link, long number) {
        Subscriber s = mSubscribers.get(link);
        if (s == null) {
            return;
        }
        s.mLastAckedNumber = Math.max(s.mLastAckedNumber, number);
        for (long n : ImmutableList.copyOf(s.mPendingAcks.keySet())) {
            if (n <= s.mLastAckedNumber) {
                s.mPendingAcks.remove(n).forEach(PendingAck::onAcknowledged);
            }
        }
    }

    /**
     * Merges an update from another member and forwards what changed to linked gateways, not to
     * members. Gateways are linked to all members, so refreshed records are left to the member that
     * received the announcement and to the relay of each gateway.
     */
    void onMemberUpdate(DirectoryUpdate update, Collection<Link> gateways) {
        long now = mLoop.nowNanos();
        List<ServerRecord> changed = new ArrayList<>();
        for (ServerRecord r : ServerRecordCheck.validRecords(update)) {
            ServerDirectory.Change change = mDirectory.merge(r, now);
            if (change == ServerDirectory.Change.CHANGED) {
                changed.add(find(r.getServer(), now));
            } else if (change == ServerDirectory.Change.REFRESHED) {
                mRefreshedByMembers.add(r.getServer());
            }
        }
        if (!changed.isEmpty()) {
            gateways.stream()
                    .filter(mSubscribers::containsKey)
                    .toList()
                    .forEach(g -> send(g, changed));
        }
    }

    private static void log(String event, ServerRecord r) {
        LOGGER.atInfo().log(
                "event=%s server=%s service=%s address=%s status=%s version=%s domain=%s born=%d"
                        + " sequence=%d cold_s=%d",
                event,
                r.getServer(),
                LogText.of(r.getService()),
                r.getAddress(),
                r.getStatus(),
                LogText.of(r.getVersion()),
                LogText.of(r.getFailureDomain()),
                r.getBornMillis(),
                r.getSequence(),
                TimeUnit.MILLISECONDS.toSeconds(r.getColdLeftMillis()));
    }
}
