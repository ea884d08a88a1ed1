package org.jacinthwharf.process.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.CustomerTotal;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.FleetLoad;
import org.jacinthwharf.wire.generated.GatewayLoad;
import org.jacinthwharf.wire.generated.OriginTotals;
import org.jacinthwharf.wire.generated.ServerLoad;
import org.jacinthwharf.wire.generated.ServerRateLimit;

/**
 * Aggregates the load that gateways report. Sends each gateway the summed server load of the other
 * gateways, the customer totals that all gateways, including the receiver, reported since the last
 * message, and the newest rate that each server named to any of them.
 *
 * <p>Used on the event loop only. Invariants: the server load of a disconnected gateway is not
 * counted; customer totals that it reported before are still sent; after a message that a link did
 * not take, the next one holds what was missed. The cost of sending is linear in the number of
 * gateways times the number of servers whose load changed, and the number of messages a second is
 * bounded.
 */
final class LoadAggregator {
    /** Changes received within this time are sent in one message. */
    private static final Duration MIN_BATCH_DELAY = Duration.ofMillis(10);

    /** Messages to all gateways together; with more gateways, more changes share a message. */
    private static final int MAX_MESSAGES_PER_SECOND = 4_000;

    /** Interval at which unchanged rates that servers name are sent again. */
    private static final Duration RATE_LIMIT_INTERVAL = Duration.ofMillis(200);

    /** Interval at which all loads are sent, so that an error in the changes does not last. */
    private static final Duration FULL_INTERVAL = Duration.ofSeconds(5);

    private final EventLoop mLoop;
    private final Map<Link, Subscriber> mSubscribers = new LinkedHashMap<>();
    private Map<String, ServerRateLimit> mLastSentRates = ImmutableMap.of();
    private long mLastRatesNanos;
    private boolean mScheduled;

    /** A gateway: what it reported last, and what it was sent. */
    private static final class Subscriber {
        GatewayLoad mReported = GatewayLoad.getDefaultInstance();
        long mReportedNanos;
        final Map<String, OriginTotals> mPendingTotals = new LinkedHashMap<>();
        Map<String, ServerLoad> mSentServers = new HashMap<>();
        List<String> mSentGateways = List.of();
        long mSentSequence;
        long mSentAllNanos = Long.MIN_VALUE / 2;

        Subscriber(long nowNanos) {
            mReportedNanos = nowNanos;
        }

        boolean isReporting() {
            return mReported.getSequence() > 0 && !mReported.getWithdrawn();
        }
    }

    LoadAggregator(EventLoop loop) {
        mLoop = loop;
    }

    void onUp(Link link) {
        mLastSentRates = ImmutableMap.of();
        mSubscribers.put(link, new Subscriber(mLoop.nowNanos()));
        schedule();
    }

    void onDown(Link link) {
        if (mSubscribers.remove(link) != null) {
            schedule();
        }
    }

    void onLoad(Link link, GatewayLoad load) {
        Subscriber from = mSubscribers.get(link);
        if (from == null || load.getSequence() <= from.mReported.getSequence()) {
            return;
        }
        from.mReported = load;
        from.mReportedNanos = mLoop.nowNanos();
        OriginTotals totals = load.getCustomers();
        if (totals.getTotalsCount() > 0) {
            mSubscribers
                    .values()
                    .forEach(
                            s ->
                                    s.mPendingTotals.merge(
                                            totals.getOrigin(),
                                            totals,
                                            LoadAggregator::newestTotals));
        }
        schedule();
    }

    /** Returns the totals of both reports; the later one of a customer counts. */
    private static OriginTotals newestTotals(OriginTotals earlier, OriginTotals later) {
        Map<String, CustomerTotal> byCustomer = new LinkedHashMap<>();
        earlier.getTotalsList().forEach(t -> byCustomer.put(t.getCustomer(), t));
        later.getTotalsList().forEach(t -> byCustomer.put(t.getCustomer(), t));
        return later.toBuilder().clearTotals().addAllTotals(byCustomer.values()).build();
    }

    /** Returns whether the gateway at the other end of a link reports its load here. */
    boolean isRelayFor(Link link) {
        Subscriber s = mSubscribers.get(link);
        return s != null && s.isReporting();
    }

    private void schedule() {
        if (!mScheduled) {
            mScheduled = true;
            mLoop.schedule(batchDelay(), this::sendAggregates);
        }
    }

    private Duration batchDelay() {
        Duration delay = Duration.ofSeconds(mSubscribers.size()).dividedBy(MAX_MESSAGES_PER_SECOND);
        return delay.compareTo(MIN_BATCH_DELAY) > 0 ? delay : MIN_BATCH_DELAY;
    }

    private void sendAggregates() {
        mScheduled = false;
        Map<String, ServerLoad> sums = new HashMap<>();
        mSubscribers
                .values()
                .forEach(
                        s ->
                                s.mReported
                                        .getServersList()
                                        .forEach(l -> sums.merge(key(l), l, LoadAggregator::sum)));
        List<String> gateways =
                mSubscribers.keySet().stream().map(l -> l.peer().getVmId()).toList();
        List<ServerRateLimit> rates = rateLimitsIfDue();
        int reporting =
                (int) mSubscribers.values().stream().filter(Subscriber::isReporting).count();
        mSubscribers.forEach(
                (link, s) -> {
                    if (!send(link, s, sums, gateways, reporting, rates)) {
                        schedule();
                    }
                });
    }

    /**
     * Sends a gateway what changed since the last message that its link took; returns false if the
     * link did not take the message.
     */
    private boolean send(
            Link link,
            Subscriber s,
            Map<String, ServerLoad> sums,
            List<String> gateways,
            int reporting,
            List<ServerRateLimit> rates) {
        long now = mLoop.nowNanos();
        boolean all = now - s.mSentAllNanos >= FULL_INTERVAL.toNanos();
        Map<String, ServerLoad> others = loadOfOthers(s.mReported, sums);
        FleetLoad.Builder message =
                FleetLoad.newBuilder()
                        .setChangesOnly(!all)
                        .setReceivedSequence(s.mReported.getSequence())
                        .setReportingGateways(reporting)
                        .addAllOrigins(s.mPendingTotals.values())
                        .addAllRateLimits(rates);
        if (all || !gateways.equals(s.mSentGateways)) {
            message.addAllGateways(gateways);
        }
        message.addAllServers(all ? others.values() : changes(s.mSentServers, others));
        boolean news =
                all
                        || message.getServersCount() > 0
                        || message.getGatewaysCount() > 0
                        || message.getOriginsCount() > 0
                        || !rates.isEmpty()
                        || s.mReported.getSequence() > s.mSentSequence;
        if (!news) {
            return true;
        }
        if (!link.send(Envelope.newBuilder().setFleetLoad(message).build())) {
            return false;
        }
        if (all) {
            s.mSentAllNanos = now;
        }
        s.mSentServers = others;
        s.mSentGateways = gateways;
        s.mSentSequence = s.mReported.getSequence();
        s.mPendingTotals.clear();
        return true;
    }

    /** Returns the loads that differ; a server without load is listed once, with none. */
    private static List<ServerLoad> changes(
            Map<String, ServerLoad> sent, Map<String, ServerLoad> current) {
        List<ServerLoad> changes = new ArrayList<>();
        current.forEach(
                (key, load) -> {
                    if (!load.equals(sent.get(key))) {
                        changes.add(load);
                    }
                });
        sent.forEach(
                (key, load) -> {
                    if (!current.containsKey(key)) {
                        changes.add(withoutLoad(load));
                    }
                });
        return changes;
    }

    /** Returns the load of all gateways but the one that reported {@code own}. */
    private static Map<String, ServerLoad> loadOfOthers(
            GatewayLoad own, Map<String, ServerLoad> sums) {
        Map<String, ServerLoad> others = new HashMap<>(sums);
        for (ServerLoad l : own.getServersList()) {
            others.computeIfPresent(
                    key(l),
                    (key, sum) -> sum.getRunning() > l.getRunning() ? difference(sum, l) : null);
        }
        return others;
    }

    /** Returns the rates if they changed, and else now and then, since links drop messages. */
    private List<ServerRateLimit> rateLimitsIfDue() {
        Map<String, ServerRateLimit> newest = newestRateLimits();
        Map<String, ServerRateLimit> rates =
                Maps.transformValues(newest, l -> l.toBuilder().clearAgeMillis().build());
        long now = mLoop.nowNanos();
        if (rates.equals(mLastSentRates) && now - mLastRatesNanos < RATE_LIMIT_INTERVAL.toNanos()) {
            return List.of();
        }
        mLastSentRates = ImmutableMap.copyOf(rates);
        mLastRatesNanos = now;
        return ImmutableList.copyOf(newest.values());
    }

    /** Returns the newest statement of each server's rate, with its age as of now. */
    private Map<String, ServerRateLimit> newestRateLimits() {
        long now = mLoop.nowNanos();
        Map<String, ServerRateLimit> newest = new HashMap<>();
        for (Subscriber s : mSubscribers.values()) {
            long sinceReceived = TimeUnit.NANOSECONDS.toMillis(now - s.mReportedNanos);
            for (ServerRateLimit l : s.mReported.getRateLimitsList()) {
                newest.merge(
                        key(l.getServer(), l.getBornMillis()),
                        l.toBuilder().setAgeMillis(l.getAgeMillis() + sinceReceived).build(),
                        (a, b) -> a.getAgeMillis() <= b.getAgeMillis() ? a : b);
            }
        }
        return newest;
    }

    private static ServerLoad sum(ServerLoad a, ServerLoad b) {
        return a.toBuilder()
                .setRunning(a.getRunning() + b.getRunning())
                .setUnreadTokens(a.getUnreadTokens() + b.getUnreadTokens())
                .setHeldTokens(a.getHeldTokens() + b.getHeldTokens())
                .build();
    }

    private static ServerLoad difference(ServerLoad a, ServerLoad b) {
        return a.toBuilder()
                .setRunning(a.getRunning() - b.getRunning())
                .setUnreadTokens(a.getUnreadTokens() - b.getUnreadTokens())
                .setHeldTokens(a.getHeldTokens() - b.getHeldTokens())
                .build();
    }

    private static ServerLoad withoutLoad(ServerLoad load) {
        return ServerLoad.newBuilder()
                .setServer(load.getServer())
                .setBornMillis(load.getBornMillis())
                .build();
    }

    private static String key(ServerLoad load) {
        return key(load.getServer(), load.getBornMillis());
    }

    private static String key(String server, long bornMillis) {
        return server + "/" + bornMillis;
    }
}
