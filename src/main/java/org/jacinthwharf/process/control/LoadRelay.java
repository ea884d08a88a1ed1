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
 * Adds up what the gateways have running, and tells each the sum of the others.
 *
 * <p>Used on the event loop only. Invariant: a gateway without a link counts nothing. Cost is
 * linear in gateways times busy servers for each message that is passed on.
 */
final class LoadRelay {
    /** Changes that arrive within this time are passed on together. */
    private static final Duration COLLECT = Duration.ofMillis(10);

    private final EventLoop mLoop;
    private final Map<Link, GatewayLoad> mGateways = new LinkedHashMap<>();
    private final Map<String, OriginTotals> mTotals = new LinkedHashMap<>();
    private boolean mScheduled;

    LoadRelay(EventLoop loop) {
        mLoop = loop;
    }

    void onUp(Link link) {
        mGateways.put(link, GatewayLoad.getDefaultInstance());
        schedule();
    }

    void onDown(Link link) {
        if (mGateways.remove(link) != null) {
            schedule();
        }
    }

    void onLoad(Link link, GatewayLoad load) {
        GatewayLoad known = mGateways.get(link);
        if (known != null && load.getSequence() > known.getSequence()) {
            mGateways.put(link, load);
            if (load.getCustomers().getTotalsCount() > 0) {
                mTotals.merge(
                        load.getCustomers().getOrigin(),
                        load.getCustomers(),
                        (a, b) -> a.toBuilder().addAllTotals(b.getTotalsList()).build());
            }
            schedule();
        }
    }

    private void schedule() {
        if (!mScheduled) {
            mScheduled = true;
            mLoop.schedule(COLLECT, this::passOn);
        }
    }

    private void passOn() {
        mScheduled = false;
        Map<String, ServerLoad.Builder> total = new HashMap<>();
        mGateways.values().forEach(g -> g.getServersList().forEach(s -> add(total, s)));
        FleetLoad.Builder names = FleetLoad.newBuilder();
        mGateways.keySet().forEach(l -> names.addGateways(l.peer().getVmId()));
        names.addAllOrigins(mTotals.values());
        mTotals.clear();
        mGateways.forEach((link, own) -> link.send(without(own, total, names)));
    }

    private static void add(Map<String, ServerLoad.Builder> total, ServerLoad s) {
        ServerLoad.Builder sum =
                total.computeIfAbsent(
                        key(s),
                        k ->
                                ServerLoad.newBuilder()
                                        .setServer(s.getServer())
                                        .setBornMillis(s.getBornMillis()));
        sum.setRunning(sum.getRunning() + s.getRunning())
                .setUnreadTokens(sum.getUnreadTokens() + s.getUnreadTokens())
                .setHeldTokens(sum.getHeldTokens() + s.getHeldTokens());
    }

    private static Envelope without(
            GatewayLoad own, Map<String, ServerLoad.Builder> total, FleetLoad.Builder names) {
        Map<String, ServerLoad> mine = new HashMap<>();
        own.getServersList().forEach(s -> mine.put(key(s), s));
        FleetLoad.Builder load = names.clone();
        total.forEach(
                (key, sum) -> {
                    ServerLoad m = mine.getOrDefault(key, ServerLoad.getDefaultInstance());
                    if (sum.getRunning() > m.getRunning()) {
                        load.addServers(
                                sum.clone()
                                        .setRunning(sum.getRunning() - m.getRunning())
                                        .setUnreadTokens(
                                                sum.getUnreadTokens() - m.getUnreadTokens())
                                        .setHeldTokens(sum.getHeldTokens() - m.getHeldTokens()));
                    }
                });
        return Envelope.newBuilder().setFleetLoad(load).build();
    }

    private static String key(ServerLoad s) {
        return s.getServer() + "/" + s.getBornMillis();
    }
}
