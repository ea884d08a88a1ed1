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
 * Guards against customers whose share depends on the number of gateways that they come through.
 *
 * <p>Several dispatchers before the same engines, in simulated time. The engines read prompts in
 * order of arrival; gateways hear of each other's load and service late.
 */
final class GatewayFairnessTest {
    private static final int GATEWAYS = 6;
    private static final int ENGINES = 6;
    private static final long STEP_MILLIS = 5;
    private static final long TOKENS_A_MILLI = 20;
    private static final long RUN_MILLIS = 100;
    private static final int PROMPT_TOKENS = 3_000;

    /** What a gateway reports reaches the others after this time. */
    private static final long LOAD_DELAY_MILLIS = 30;

    private static final long TOTALS_MILLIS = 200;

    private final List<DispatchScenario> mGateways = new ArrayList<>();
    private final Map<String, Engine> mEngines = new HashMap<>();
    private final Map<String, Long> mTokens = new HashMap<>();
    private final ArrayDeque<List<List<ServerLoad>>> mLoads = new ArrayDeque<>();
    private long mMillis;
    private int mRequests;

    /** One engine: prompts are read one after the other, then run for a while. */
    private static final class Engine {
        final ArrayDeque<Placement> mReading = new ArrayDeque<>();
        final PriorityQueue<Running> mRunning =
                new PriorityQueue<>((a, b) -> Long.compare(a.mUntil, b.mUntil));
        long mRead;
    }

    private static final class Running {
        final Placement mPlacement;
        final long mUntil;

        Running(Placement placement, long until) {
            mPlacement = placement;
            mUntil = until;
        }
    }

    private GatewayFairnessTest() {
        for (int g = 0; g < GATEWAYS; g++) {
            DispatchScenario gateway = new DispatchScenario("g" + g, g);
            gateway.engines(ENGINES);
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
        if (mMillis % TOTALS_MILLIS == 0) {
            exchangeTotals();
        }
        for (int g = 0; g < GATEWAYS; g++) {
            DispatchScenario gateway = mGateways.get(g);
            gateway.mNow += STEP_MILLIS * DispatchScenario.MILLI;
            // A customer that comes through all gateways, and one that asks as much through one.
            submit(gateway, "wide", 1);
            submit(gateway, "narrow", g == 0 ? GATEWAYS : 0);
            gateway.note(gateway.mDispatcher.run(gateway.mNow));
            take(gateway);
        }
    }

    private void submit(DispatchScenario gateway, String customer, int count) {
        for (int i = 0; i < count && mMillis % 20 == 0; i++) {
            String id = customer + "-" + mRequests++;
            gateway.submit(gateway.prompt(id, customer, id + "-subject", 0, PROMPT_TOKENS));
        }
    }

    private void take(DispatchScenario gateway) {
        for (int i = 0; i < gateway.mPlacements.size(); i++) {
            Placement p = gateway.mPlacements.get(i);
            mEngines.get(p.server().id()).mReading.add(p);
            String call = gateway.mPlaced.get(i);
            mTokens.merge(call.substring(0, call.indexOf('-')), (long) PROMPT_TOKENS, Long::sum);
        }
        gateway.mPlacements.clear();
        gateway.mPlaced.clear();
    }

    private void advance(Engine e) {
        long now = mGateways.get(0).mNow;
        e.mRead += STEP_MILLIS * TOKENS_A_MILLI;
        while (!e.mReading.isEmpty() && e.mRead >= PROMPT_TOKENS) {
            e.mRead -= PROMPT_TOKENS;
            Placement p = e.mReading.remove();
            p.onFirstEvent(now);
            e.mRunning.add(new Running(p, mMillis + RUN_MILLIS));
        }
        if (e.mReading.isEmpty()) {
            e.mRead = 0;
        }
        while (!e.mRunning.isEmpty() && e.mRunning.peek().mUntil <= mMillis) {
            e.mRunning.remove().mPlacement.end();
        }
    }

    private void exchangeLoad() {
        List<List<ServerLoad>> loads = new ArrayList<>();
        mGateways.forEach(g -> loads.add(g.mServerTable.ownLoad()));
        mLoads.add(loads);
        if (mLoads.size() <= LOAD_DELAY_MILLIS / 10) {
            return;
        }
        List<List<ServerLoad>> heard = mLoads.remove();
        for (int g = 0; g < GATEWAYS; g++) {
            Map<String, ServerLoad.Builder> others = new HashMap<>();
            for (int o = 0; o < GATEWAYS; o++) {
                if (o != g) {
                    heard.get(o).forEach(l -> add(others, l));
                }
            }
            List<ServerLoad> sums = new ArrayList<>();
            others.values().forEach(l -> sums.add(l.build()));
            mGateways.get(g).mServerTable.setOthers(sums);
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

    // The stated rule: at least half of what the best served customer gets, in six seconds.
    @Test
    void aCustomerOfOneGatewayGetsHalfOfOneThatComesThroughAllAtLeast() {
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
            String seen = "wide " + wide + " narrow " + narrow;
            assertWithMessage(seen).that(narrow).isAtLeast(wide / 2);
            assertWithMessage(seen).that(wide).isAtLeast(narrow / 2);
            // Engines that stand still would make shares easy.
            assertWithMessage(seen)
                    .that(wide + narrow)
                    .isAtLeast(6_000 * TOKENS_A_MILLI * ENGINES * 6 / 10);
        }
    }
}
