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
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.membership.ServerDirectory;
import org.jacinthwharf.wire.generated.DirectoryUpdate;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerStatus;

/**
 * Takes announcements of backend servers and passes them on to members and gateways.
 *
 * <p>Used on the event loop only. Invariants: what decides about sending is passed on at once, the
 * rest in batches; an announcement that a server leaves is acknowledged once every process that is
 * linked has it, or after {@link #ACK_WAIT}.
 */
public final class DirectoryService {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** A server waits a second for its acknowledgement. */
    private static final Duration ACK_WAIT = Duration.ofMillis(600);

    private static final Duration BATCH_INTERVAL = Duration.ofMillis(500);

    private final ServerDirectory mDirectory = new ServerDirectory();
    private final Map<Link, Subscriber> mSubscribers = new LinkedHashMap<>();
    private final Set<String> mHeard = new HashSet<>();
    private final EventLoop mLoop;

    /** What one linked process has been sent. */
    private static final class Subscriber {
        long mNumber;
        long mAcked;
        final Map<Long, List<Waiter>> mWaiters = new HashMap<>();
    }

    /** An acknowledgement that waits for several processes. */
    private static final class Waiter {
        final CompletableFuture<Void> mDone = new CompletableFuture<>();
        int mMissing;

        void arrived() {
            if (--mMissing <= 0) {
                mDone.complete(null);
            }
        }
    }

    DirectoryService(EventLoop loop) {
        mLoop = loop;
    }

    void start() {
        mLoop.scheduleRepeatedly(BATCH_INTERVAL, this::sendHeard);
    }

    /**
     * Takes what a server says about itself.
     *
     * @return completes when it may be acknowledged
     */
    public CompletableFuture<Void> announce(ServerRecord record) {
        long now = mLoop.nowNanos();
        ServerDirectory.Change change = mDirectory.merge(record, now);
        boolean leaving = record.getStatus() != ServerStatus.SERVING;
        if (change == ServerDirectory.Change.CHANGED) {
            log("server_announced", record);
            return passOn(find(record.getServer(), now), mSubscribers.keySet(), leaving);
        }
        if (change == ServerDirectory.Change.REFRESHED) {
            mHeard.add(record.getServer());
        }
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Takes the last word of a server.
     *
     * @return completes when it may be acknowledged
     */
    public CompletableFuture<Void> leave(String server, long bornMillis) {
        long now = mLoop.nowNanos();
        Optional<ServerRecord> gone = mDirectory.leave(server, bornMillis, now);
        if (gone.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        log("server_left", gone.get());
        return passOn(gone.get(), mSubscribers.keySet(), true);
    }

    private ServerRecord find(String server, long now) {
        return mDirectory.find(server).orElseThrow().toMessage(now);
    }

    private CompletableFuture<Void> passOn(
            ServerRecord record, Collection<Link> links, boolean wait) {
        Waiter waiter = new Waiter();
        for (Link link : ImmutableList.copyOf(links)) {
            long number = send(link, List.of(record));
            if (wait && number > 0) {
                waiter.mMissing++;
                mSubscribers
                        .get(link)
                        .mWaiters
                        .computeIfAbsent(number, n -> new ArrayList<>())
                        .add(waiter);
            }
        }
        if (waiter.mMissing == 0) {
            return CompletableFuture.completedFuture(null);
        }
        mLoop.schedule(ACK_WAIT, () -> waiter.mDone.complete(null));
        return waiter.mDone;
    }

    private long send(Link link, List<ServerRecord> records) {
        Subscriber s = mSubscribers.get(link);
        DirectoryUpdate update =
                DirectoryUpdate.newBuilder()
                        .setNumber(s.mNumber + 1)
                        .addAllRecords(records)
                        .build();
        if (!link.send(Envelope.newBuilder().setDirectoryUpdate(update).build())) {
            return 0;
        }
        return ++s.mNumber;
    }

    private void sendHeard() {
        long now = mLoop.nowNanos();
        mDirectory.expire(now);
        List<ServerRecord> records =
                mHeard.stream()
                        .flatMap(id -> mDirectory.find(id).stream())
                        .map(e -> e.toMessage(now))
                        .toList();
        mHeard.clear();
        if (!records.isEmpty()) {
            mSubscribers.keySet().forEach(l -> send(l, records));
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
        Subscriber gone = mSubscribers.remove(link);
        if (gone != null) {
            gone.mWaiters.values().forEach(w -> w.forEach(Waiter::arrived));
        }
    }

    void onAck(Link link, long number) {
        Subscriber s = mSubscribers.get(link);
        if (s == null) {
            return;
        }
        s.mAcked = Math.max(s.mAcked, number);
        for (long n : ImmutableList.copyOf(s.mWaiters.keySet())) {
            if (n <= s.mAcked) {
                s.mWaiters.remove(n).forEach(Waiter::arrived);
            }
        }
    }

    /** Takes what another member passed on; gateways here hear of it, other members do not. */
    void onMemberUpdate(Link from, DirectoryUpdate update, Collection<Link> gateways) {
        long now = mLoop.nowNanos();
        List<ServerRecord> changed = new ArrayList<>();
        for (ServerRecord r : update.getRecordsList()) {
            if (mDirectory.merge(r, now) != ServerDirectory.Change.NONE) {
                changed.add(find(r.getServer(), now));
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
                r.getService(),
                r.getAddress(),
                r.getStatus(),
                r.getVersion(),
                r.getFailureDomain(),
                r.getBornMillis(),
                r.getSequence(),
                TimeUnit.MILLISECONDS.toSeconds(r.getColdLeftMillis()));
    }
}
