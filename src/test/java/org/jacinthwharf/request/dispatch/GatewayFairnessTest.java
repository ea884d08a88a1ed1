package org.jacinthwharf.request.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.jacinthwharf.wire.generated.ServerLoad;
import org.junit.jupiter.api.Test;

/**
 * Guards against a share of a customer that depends on the number of gateways that it uses.
 *
 * <p>Several dispatchers place requests at the same simulated engines, in simulated time. The
 * engines prefill in order of arrival; gateways receive each other's load with a delay and exchange
 * service totals periodically.
 */
final class GatewayFairnessTest {
    private static final int GATEWAYS = 6;
    private static final int ENGINES = 6;
    private static final long STEP_MILLIS = 5;
    private static final long TOKENS_PER_MILLI = 20;
    private static final long RUN_MILLIS = 100;
    private static final int PROMPT_TOKENS = 3_000;

    /** Delay after which the other gateways receive the reported load. */
    private static final long LOAD_DELAY_MILLIS = 30;

    private static final long TOTALS_INTERVAL_MILLIS = 200;

    private final List<DispatchScenario> mGateways = new ArrayList<>();
    private final Map<String, Engine> mEngines = new HashMap<>();
    private final Map<String, Long> mTokens = new HashMap<>();
    private final ArrayDeque<List<List<ServerLoad>>> mLoads = new ArrayDeque<>();
    private long mMillis;
    private int mRequests;

    /** A simulated engine: prefills prompts one by one, then runs each request for a fixed time. */
    private static final class Engine {
        final ArrayDeque<Placement> mPendingPrefills = new ArrayDeque<>();
        final PriorityQueue<Running> mRunning =
                new PriorityQueue<>((a, b) -> Long.compare(a.mEndMillis, b.mEndMillis));
        long mPrefilledTokens;
    }

    private static final class Running {
        final Placement mPlacement;
        final long mEndMillis;

        Running(Placement placement, long endMillis) {
            mPlacement = placement;
            mEndMillis = endMillis;
        }
    }

    private GatewayFairnessTest() {
        for (int g = 0; g < GATEWAYS; g++) {
            DispatchScenario gateway = new DispatchScenario("g" + g, g);
            gateway.addEngines(ENGINES);
            for (int e = 0; e < ENGINES; e++) {
                mEngines.put("e" + e, new Engine());
            }
            mGateways.add(gateway);
        }
    }

    private void step() {
        mMillis += STEP_MILLIS;
        mEngines.values().forEach(this::advance);
        if (mMillis % 10 == 0) {
            exchangeLoad();
        }
        if (mMillis % TOTALS_INTERVAL_MILLIS == 0) {
            exchangeTotals();
        }
        for (int g = 0; g < GATEWAYS; g++) {
            DispatchScenario gateway = mGateways.get(g);
            gateway.mNow += STEP_MILLIS * DispatchScenario.MILLI;
            // "wide" sends through all gateways, "narrow" the same load through one.
            submit(gateway, "wide", 1);
            submit(gateway, "narrow", g == 0 ? GATEWAYS : 0);
            gateway.recordActions(gateway.mDispatcher.dispatchWaiting(gateway.mNow));
            startPlaced(gateway);
        }
    }

    private void submit(DispatchScenario gateway, String customer, int count) {
        for (int i = 0; i < count && mMillis % 20 == 0; i++) {
            String id = customer + "-" + mRequests++;
            gateway.submit(gateway.engineRequest(id, customer, id + "-subject", 0, PROMPT_TOKENS));
        }
    }

    private void startPlaced(DispatchScenario gateway) {
        for (int i = 0; i < gateway.mPlacements.size(); i++) {
            Placement p = gateway.mPlacements.get(i);
            mEngines.get(p.server().id()).mPendingPrefills.add(p);
            String call = gateway.mPlaced.get(i);
            mTokens.merge(call.substring(0, call.indexOf('-')), (long) PROMPT_TOKENS, Long::sum);
        }
        gateway.mPlacements.clear();
        gateway.mPlaced.clear();
    }

    private void advance(Engine e) {
        long now = mGateways.get(0).mNow;
        e.mPrefilledTokens += STEP_MILLIS * TOKENS_PER_MILLI;
        while (!e.mPendingPrefills.isEmpty() && e.mPrefilledTokens >= PROMPT_TOKENS) {
            e.mPrefilledTokens -= PROMPT_TOKENS;
            Placement p = e.mPendingPrefills.remove();
            p.onFirstEvent(now);
            e.mRunning.add(new Running(p, mMillis + RUN_MILLIS));
        }
        if (e.mPendingPrefills.isEmpty()) {
            e.mPrefilledTokens = 0;
        }
        while (!e.mRunning.isEmpty() && e.mRunning.peek().mEndMillis <= mMillis) {
            e.mRunning.remove().mPlacement.end();
        }
    }

    private void exchangeLoad() {
        List<List<ServerLoad>> loads = new ArrayList<>();
        mGateways.forEach(g -> loads.add(g.mServerTable.localLoad()));
        mLoads.add(loads);
        if (mLoads.size() <= LOAD_DELAY_MILLIS / 10) {
            return;
        }
        List<List<ServerLoad>> received = mLoads.remove();
        for (int g = 0; g < GATEWAYS; g++) {
            Map<String, ServerLoad.Builder> others = new HashMap<>();
            for (int o = 0; o < GATEWAYS; o++) {
                if (o != g) {
                    received.get(o).forEach(l -> add(others, l));
                }
            }
            List<ServerLoad> sums = new ArrayList<>();
            others.values().forEach(l -> sums.add(l.build()));
            mGateways.get(g).mServerTable.setOtherGatewaysLoad(sums);
        }
    }

    private static void add(Map<String, ServerLoad.Builder> sums, ServerLoad l) {
        ServerLoad.Builder sum = sums.get(l.getServer());
        if (sum == null) {
            sums.put(l.getServer(), l.toBuilder());
            return;
        }
        sum.setRunning(sum.getRunning() + l.getRunning())
                .setUnreadTokens(sum.getUnreadTokens() + l.getUnreadTokens())
                .setHeldTokens(sum.getHeldTokens() + l.getHeldTokens());
    }

    private void exchangeTotals() {
        var totals = mGateways.stream().map(g -> g.mLedger.nextTotals()).toList();
        for (DispatchScenario g : mGateways) {
            totals.forEach(t -> g.mLedger.merge(t, g.mNow));
        }
    }

    // The fairness bound: at least half of the service of the best-served customer in six seconds.
    @Test
    void customerOfSingleGatewayGetsAtLeastHalfTheServiceOfCustomerOfAllGateways() {
        while (mMillis < 3_000) {
            step();
        }
        for (int window = 0; window < 2; window++) {
            mTokens.clear();
            long end = mMillis + 6_000;
            while (mMillis < end) {
                step();
            }
            long wide = mTokens.getOrDefault("wide", 0L);
            long narrow = mTokens.getOrDefault("narrow", 0L);
            String message = "wide " + wide + " narrow " + narrow;
            assertWithMessage(message).that(narrow).isAtLeast(wide / 2);
            assertWithMessage(message).that(wide).isAtLeast(narrow / 2);
            // Idle engines would satisfy the bound trivially.
            assertWithMessage(message)
                    .that(wide + narrow)
                    .isAtLeast(6_000 * TOKENS_PER_MILLI * ENGINES * 6 / 10);
        }
    }
}
