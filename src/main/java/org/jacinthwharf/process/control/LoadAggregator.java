package org.jacinthwharf.process.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.FleetLoad;
import org.jacinthwharf.wire.generated.GatewayLoad;
import org.jacinthwharf.wire.generated.OriginTotals;
import org.jacinthwharf.wire.generated.ServerLoad;

/**
 * Aggregates the load that gateways report. Sends each gateway the summed server load of the other
 * gateways, and the customer totals that all gateways, including the receiver, reported since the
 * last message.
 *
 * <p>Used on the event loop only. Invariant: the server load of a disconnected gateway is not
 * counted; customer totals that it reported before are still sent. The cost of sending is linear in
 * the number of gateways times the number of busy servers.
 */
final class LoadAggregator {
    /** Changes received within this time are sent in one message. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(10);

    private final EventLoop mLoop;
    private final Map<Link, GatewayLoad> mReportedLoads = new LinkedHashMap<>();
    private final Map<String, OriginTotals> mPendingTotals = new LinkedHashMap<>();
    private boolean mScheduled;

    LoadAggregator(EventLoop loop) {
        mLoop = loop;
    }

    void onUp(Link link) {
        mReportedLoads.put(link, GatewayLoad.getDefaultInstance());
        schedule();
    }

    void onDown(Link link) {
        if (mReportedLoads.remove(link) != null) {
            schedule();
        }
    }

    void onLoad(Link link, GatewayLoad load) {
        GatewayLoad previous = mReportedLoads.get(link);
        if (previous != null && load.getSequence() > previous.getSequence()) {
            mReportedLoads.put(link, load);
            if (load.getCustomers().getTotalsCount() > 0) {
                mPendingTotals.merge(
                        load.getCustomers().getOrigin(),
                        load.getCustomers(),
                        (a, b) -> a.toBuilder().addAllTotals(b.getTotalsList()).build());
            }
            schedule();
        }
    }

    /** Returns whether the gateway at the other end of a link reports its load here. */
    boolean isRelayFor(Link link) {
        GatewayLoad load = mReportedLoads.get(link);
        return load != null && load.getSequence() > 0;
    }

    private void schedule() {
        if (!mScheduled) {
            mScheduled = true;
            mLoop.schedule(BATCH_DELAY, this::sendAggregates);
        }
    }

    private void sendAggregates() {
        mScheduled = false;
        Map<String, ServerLoad.Builder> sums = new HashMap<>();
        mReportedLoads.values().forEach(g -> g.getServersList().forEach(s -> addTo(sums, s)));
        FleetLoad.Builder common = FleetLoad.newBuilder();
        mReportedLoads.keySet().forEach(l -> common.addGateways(l.peer().getVmId()));
        common.addAllOrigins(mPendingTotals.values());
        mPendingTotals.clear();
        mReportedLoads.forEach((link, reported) -> link.send(loadOfOthers(reported, sums, common)));
    }

    private static void addTo(Map<String, ServerLoad.Builder> sums, ServerLoad s) {
        ServerLoad.Builder sum =
                sums.computeIfAbsent(
                        key(s),
                        k ->
                                ServerLoad.newBuilder()
                                        .setServer(s.getServer())
                                        .setBornMillis(s.getBornMillis()));
        sum.setRunning(sum.getRunning() + s.getRunning())
                .setUnreadTokens(sum.getUnreadTokens() + s.getUnreadTokens())
                .setHeldTokens(sum.getHeldTokens() + s.getHeldTokens());
    }

    private static Envelope loadOfOthers(
            GatewayLoad reported, Map<String, ServerLoad.Builder> sums, FleetLoad.Builder common) {
        Map<String, ServerLoad> ownLoads = new HashMap<>();
        reported.getServersList().forEach(s -> ownLoads.put(key(s), s));
        FleetLoad.Builder load = common.clone().setReceivedSequence(reported.getSequence());
        sums.forEach(
                (key, sum) -> {
                    ServerLoad own = ownLoads.getOrDefault(key, ServerLoad.getDefaultInstance());
                    if (sum.getRunning() > own.getRunning()) {
                        load.addServers(
                                sum.clone()
                                        .setRunning(sum.getRunning() - own.getRunning())
                                        .setUnreadTokens(
                                                sum.getUnreadTokens() - own.getUnreadTokens())
                                        .setHeldTokens(sum.getHeldTokens() - own.getHeldTokens()));
                    }
                });
        return Envelope.newBuilder().setFleetLoad(load).build();
    }

    private static String key(ServerLoad s) {
        return s.getServer() + "/" + s.getBornMillis();
    }
}
