package org.jacinthwharf.request.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.stream.IntStream;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.request.admission.ServiceLedger;
import org.jacinthwharf.wire.generated.ServiceTotals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

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
    private static final long RUN_MILLIS = 100;

    private static final long WINDOW_MILLIS = 6_000;
    private static final long SMALL_INTERVAL_MILLIS = 50;
    private static final int SMALL_TOKENS = 500;
    private static final long TOTALS_INTERVAL_MILLIS = 200;

    private final List<DispatchScenario> mGateways = new ArrayList<>();
    private final Map<String, Engine> mEngines = new HashMap<>();
    private final Map<String, Long> mTokens = new HashMap<>();
    private final DelayedLoadExchange mLoads = new DelayedLoadExchange();

    /** Delay after which the other gateways receive the reported load. */
    private long mLoadDelayMillis = 30;

    private long mTokensPerMilli = 20;
    private int mNarrowRequests = GATEWAYS;

    /** Whether a third customer, which needs little, is behind the other two. */
    private boolean mSmallCustomer;

    private int mPromptTokens = 3_000;

    /** Requests a second that each engine names, 0 for none. */
    private double mNamedRate;

    /** Interval at which each gateway gets a prompt of the wide customer. */
    private long mIntervalMillis = 20;

    private long mMillis;
    private int mRequests;

    /** A simulated engine: prefills prompts one by one, then runs each request for a fixed time. */
    private static final class Engine {
        final ArrayDeque<Prefill> mPendingPrefills = new ArrayDeque<>();
        final PriorityQueue<Running> mRunning =
                new PriorityQueue<>((a, b) -> Long.compare(a.mEndMillis, b.mEndMillis));
        long mPrefilledTokens;
    }

    private record Prefill(Placement placement, long tokens) {}

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
            mLoads.step(mGateways, mLoadDelayMillis / 10);
        }
        if (mMillis % TOTALS_INTERVAL_MILLIS == 0) {
            exchangeTotals();
        }
        for (int g = 0; g < GATEWAYS; g++) {
            DispatchScenario gateway = mGateways.get(g);
            gateway.mNow += STEP_MILLIS * DispatchScenario.MILLI;
            // "wide" sends through all gateways, "narrow" through one.
            submit(gateway, "wide", 1);
            submit(gateway, "narrow", g == 0 ? mNarrowRequests : 0);
            if (mSmallCustomer && mMillis % (SMALL_INTERVAL_MILLIS * GATEWAYS) == 0) {
                String id = "small-" + mRequests++;
                gateway.submit(
                        gateway.engineRequest(id, "small", id + "-subject", 0, SMALL_TOKENS));
            }
            gateway.recordActions(gateway.mDispatcher.dispatchWaiting(gateway.mNow));
            startPlaced(gateway);
        }
    }

    private void submit(DispatchScenario gateway, String customer, int count) {
        for (int i = 0; i < count && mMillis % mIntervalMillis == 0; i++) {
            String id = customer + "-" + mRequests++;
            gateway.submit(gateway.engineRequest(id, customer, id + "-subject", 0, mPromptTokens));
        }
    }

    private void startPlaced(DispatchScenario gateway) {
        for (int i = 0; i < gateway.mPlacements.size(); i++) {
            Placement p = gateway.mPlacements.get(i);
            String call = gateway.mPlaced.get(i);
            String customer = call.substring(0, call.indexOf('-'));
            long tokens = customer.equals("small") ? SMALL_TOKENS : mPromptTokens;
            mEngines.get(p.server().id()).mPendingPrefills.add(new Prefill(p, tokens));
            mTokens.merge(customer, tokens, Long::sum);
        }
        gateway.mPlacements.clear();
        gateway.mPlaced.clear();
    }

    private void advance(Engine e) {
        long now = mGateways.get(0).mNow;
        e.mPrefilledTokens += STEP_MILLIS * mTokensPerMilli;
        while (!e.mPendingPrefills.isEmpty()
                && e.mPrefilledTokens >= e.mPendingPrefills.peek().tokens()) {
            e.mPrefilledTokens -= e.mPendingPrefills.peek().tokens();
            Placement p = e.mPendingPrefills.remove().placement();
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

    private void exchangeTotals() {
        nameRates();
        var totals = mGateways.stream().map(g -> g.mLedger.nextTotals()).toList();
        for (DispatchScenario g : mGateways) {
            totals.forEach(t -> g.mLedger.merge(t, g.mNow));
            g.mLeadLimit.update(g.mNow);
            Map<String, Double> backlog = new HashMap<>();
            g.mLedger
                    .backlogByOrigin()
                    .forEach((o, n) -> backlog.put(o.substring(0, o.indexOf('/')), n));
            g.mRanks.setDemand(backlog, g.mNow);
        }
    }

    private void nameRates() {
        if (mNamedRate > 0) {
            for (DispatchScenario g : mGateways) {
                g.mServerTable
                        .all()
                        .forEach(s -> s.onNamedRate(OptionalDouble.of(mNamedRate), g.mNow));
            }
        }
    }

    /**
     * Guards against the rates that engines name belonging to gateways: a customer whose callers
     * all reach one gateway got the part of that gateway, and one at all gateways the rest. The
     * pattern of f0646787, fec3de65 and 2139840e in the journal.
     */
    @ParameterizedTest
    @CsvSource({"1.2, 3000", "2.5, 3000", "2, 13000", "7, 1000"})
    void customerOfSingleGatewayGetsItsShareOfTheRatesThatEnginesName(
            double rate, int promptTokens) {
        mNamedRate = rate;
        mPromptTokens = promptTokens;
        mTokensPerMilli = 60;
        mIntervalMillis = 50;
        mNarrowRequests = 2;
        List<String> names = IntStream.range(0, GATEWAYS).mapToObj(g -> "g" + g).toList();
        mGateways.forEach(g -> g.mRanks.setGateways(names));
        skip();
        for (int window = 0; window < 4; window++) {
            runWindow();
            long wide = tokens("wide");
            long narrow = tokens("narrow");
            String message = "wide " + wide + " narrow " + narrow;
            assertWithMessage(message).that(narrow + 3L * mPromptTokens).isAtLeast(wide / 2);
            assertWithMessage(message).that(wide + 3L * mPromptTokens).isAtLeast(narrow / 2);
            // Most of the rate is used.
            assertWithMessage(message)
                    .that((wide + narrow) / mPromptTokens)
                    .isAtLeast((long) (0.6 * rate * ENGINES * WINDOW_MILLIS / 1_000));
        }
    }

    /**
     * Guards against a debt that takes longer to be worked off than shares may be unfair: a
     * customer used capacity while it was free, then engines name low rates. The pattern of the
     * days with seeds 302432698625 and 313525626481 (debo241 761,000 and xara210 424,000 tokens
     * ahead).
     */
    @ParameterizedTest
    @CsvSource({
        "narrow, 760000, 2",
        "narrow, 424000, 1.2",
        "wide, 760000, 2",
        "narrow, 5000000, 0",
        "wide, 5000000, 0"
    })
    void customerThatIsFarAheadWhenCapacityFallsGetsItsShareInEachWindow(
            String ahead, long lead, double rate) {
        mNamedRate = rate;
        mTokensPerMilli = 60;
        mIntervalMillis = 50;
        mNarrowRequests = 2;
        List<String> names = IntStream.range(0, GATEWAYS).mapToObj(g -> "g" + g).toList();
        mGateways.forEach(g -> g.mRanks.setGateways(names));
        skip();
        ServiceLedger former = new ServiceLedger("former/1", TOTALS_INTERVAL_MILLIS);
        former.charge(CustomerId.of(ahead), lead);
        ServiceTotals totals = former.nextTotals();
        mGateways.forEach(g -> g.mLedger.merge(totals, g.mNow));
        long asked = WINDOW_MILLIS / mIntervalMillis * mPromptTokens * mNarrowRequests;
        for (int window = 0; window < 4; window++) {
            runWindow();
            long wide = tokens("wide");
            long narrow = tokens("narrow");
            String message = "wide " + wide + " narrow " + narrow;
            assertWithMessage(message)
                    .that(narrow + 3L * mPromptTokens)
                    .isAtLeast(Math.min(asked, wide) / 2);
            assertWithMessage(message).that(wide + 3L * mPromptTokens).isAtLeast(narrow / 2);
        }
    }

    // The fairness bound: at least half of the service of the best-served customer in six seconds.
    @Test
    void customerOfSingleGatewayGetsAtLeastHalfTheServiceOfCustomerOfAllGateways() {
        skip();
        for (int window = 0; window < 2; window++) {
            runWindow();
            long wide = tokens("wide");
            long narrow = tokens("narrow");
            String message = "wide " + wide + " narrow " + narrow;
            assertWithMessage(message).that(narrow).isAtLeast(wide / 2);
            assertWithMessage(message).that(wide).isAtLeast(narrow / 2);
            // Idle engines would satisfy the bound trivially.
            assertWithMessage(message)
                    .that(wide + narrow)
                    .isAtLeast(WINDOW_MILLIS * mTokensPerMilli * ENGINES * 6 / 10);
        }
    }

    /**
     * Guards against customers far ahead that take each engine before the gateway of a customer
     * that is behind has heard that it is empty. Prompts are long, so that each empties an engine,
     * and the load takes longer than usual to reach the other gateways.
     */
    @ParameterizedTest
    @CsvSource({
        "30, 100, 40000",
        "60, 120, 40000",
        "150, 100, 40000",
        "30, 150, 30000",
        "100, 100, 30000"
    })
    void customerOfSingleGatewayGetsEmptyEnginesBeforeCustomersFarAhead(
            long loadDelayMillis, long intervalMillis, int promptTokens) {
        mTokensPerMilli = 57;
        mPromptTokens = promptTokens;
        mLoadDelayMillis = loadDelayMillis;
        mIntervalMillis = intervalMillis;
        assertNarrowGetsItsShare();
    }

    /**
     * Guards against an order by chance among customers that are all far ahead of one that needs
     * little: the one with the most gateways would win most of the races.
     */
    @ParameterizedTest
    @CsvSource({"30, 100, 12000", "60, 80, 24000", "100, 100, 30000"})
    void customerOfSingleGatewayGetsItsShareIfAllLargeCustomersAreFarAhead(
            long loadDelayMillis, long intervalMillis, int promptTokens) {
        runBesideSmallCustomer(loadDelayMillis, intervalMillis, promptTokens);
    }

    // The same with prompts that take an engine longer than the objective.
    @ParameterizedTest
    @CsvSource({"30, 100, 40000", "60, 120, 40000"})
    void customerOfSingleGatewayGetsItsShareOfVeryLongPromptsIfAllAreFarAhead(
            long loadDelayMillis, long intervalMillis, int promptTokens) {
        runBesideSmallCustomer(loadDelayMillis, intervalMillis, promptTokens);
    }

    private void runBesideSmallCustomer(
            long loadDelayMillis, long intervalMillis, int promptTokens) {
        mTokensPerMilli = 57;
        mPromptTokens = promptTokens;
        mLoadDelayMillis = loadDelayMillis;
        mIntervalMillis = intervalMillis;
        mSmallCustomer = true;
        assertNarrowGetsItsShare();
    }

    private void assertNarrowGetsItsShare() {
        mNarrowRequests = 1;
        mGateways.forEach(
                g -> g.mDispatcher.setLoadDelay(mLoadDelayMillis * DispatchScenario.MILLI));
        skip();
        long asked = WINDOW_MILLIS / mIntervalMillis * mPromptTokens;
        for (int window = 0; window < 4; window++) {
            runWindow();
            long wide = tokens("wide");
            long narrow = tokens("narrow");
            String message = "wide " + wide + " narrow " + narrow + " asked " + asked;
            // The bound allows for three requests, which the edges of a window may cut off.
            assertWithMessage(message)
                    .that(narrow + 3 * mPromptTokens)
                    .isAtLeast(Math.min(asked, wide) / 2);
            assertWithMessage(message)
                    .that(wide + narrow)
                    .isAtLeast(WINDOW_MILLIS * mTokensPerMilli * ENGINES * 6 / 10);
        }
    }

    private void skip() {
        while (mMillis < 3_000) {
            step();
        }
    }

    private void runWindow() {
        mTokens.clear();
        long end = mMillis + WINDOW_MILLIS;
        while (mMillis < end) {
            step();
        }
    }

    private long tokens(String customer) {
        return mTokens.getOrDefault(customer, 0L);
    }
}
