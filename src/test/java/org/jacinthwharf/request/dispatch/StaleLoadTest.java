package org.jacinthwharf.request.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against gateways that go on sending to full engines while the member that relays their
 * load is frozen: a request met three engines that each rejected it, while others had free slots.
 * The pattern of a5a9faff and ed45b684 in the journal (large fleet, trouble-1, from 2.5 s on).
 *
 * <p>Several dispatchers place requests at the same simulated engines, in simulated time; engines
 * reject what exceeds their slots.
 */
final class StaleLoadTest {
    private static final int GATEWAYS = 12;
    private static final int ENGINES = 24;
    private static final int SLOTS = 12;
    private static final long STEP_MILLIS = 5;

    /** Each gateway gets a request in this time, so that five of six slots are in use. */
    private static final long INTERVAL_MILLIS = 10;

    private static final long RUN_MILLIS = 200;
    private static final long PREFILL_MILLIS = 20;

    /** Time for which gateways hear nothing of each other. */
    private static final long FROZEN_MILLIS = 2_000;

    private static final int MAX_ATTEMPTS = 3;

    private final List<DispatchScenario> mGateways = new ArrayList<>();
    private final DelayedLoadExchange mLoads = new DelayedLoadExchange();
    private final Map<String, Integer> mRunning = new HashMap<>();
    private final Map<String, Set<String>> mRejectedBy = new HashMap<>();
    private final Map<String, DispatchRequest> mRequestsById = new HashMap<>();
    private final List<Run> mRuns = new ArrayList<>();
    private long mMillis;
    private int mRequests;
    private int mRefused;
    private int mRejected;

    private record Run(Placement placement, long startMillis) {}

    StaleLoadTest() {
        for (int g = 0; g < GATEWAYS; g++) {
            DispatchScenario gateway = new DispatchScenario("g" + g, g);
            for (int e = 0; e < ENGINES; e++) {
                gateway.addServer("e" + e, DispatchScenario.ENGINES, SLOTS, 0);
            }
            mGateways.add(gateway);
        }
    }

    private void step(boolean frozen) {
        mMillis += STEP_MILLIS;
        mGateways.forEach(g -> g.mNow += STEP_MILLIS * DispatchScenario.MILLI);
        for (Run run : List.copyOf(mRuns)) {
            long age = mMillis - run.startMillis();
            if (age == PREFILL_MILLIS) {
                run.placement().onFirstEvent(mGateways.get(0).mNow);
            } else if (age >= RUN_MILLIS) {
                run.placement().end();
                mRunning.merge(run.placement().server().id(), -1, Integer::sum);
                mRuns.remove(run);
            }
        }
        if (!frozen && mMillis % 10 == 0) {
            mLoads.step(mGateways, 3);
        }
        for (int g = 0; g < GATEWAYS; g++) {
            DispatchScenario gateway = mGateways.get(g);
            if ((mMillis + g * STEP_MILLIS) % INTERVAL_MILLIS == 0) {
                String id = "r" + mRequests++;
                DispatchRequest request =
                        gateway.engineRequest(
                                id, "c" + mRequests % 9, "p" + mRequests % 40, 0, 400);
                mRequestsById.put(id, request);
                gateway.mDispatcher
                        .submit(id, request, gateway.mNow)
                        .forEach(a -> apply(gateway, a, Set.of()));
            }
            gateway.mDispatcher
                    .dispatchWaiting(gateway.mNow)
                    .forEach(a -> apply(gateway, a, mRejectedBy.getOrDefault(id(a), Set.of())));
        }
    }

    /** Starts what is placed; an engine without a free slot rejects it. */
    private void apply(
            DispatchScenario gateway, DispatchAction<String> action, Set<String> rejectedBy) {
        if (!(action instanceof DispatchAction.Place<String> place)) {
            mRefused++;
            return;
        }
        BackendServer server = place.placement().server();
        if (mRunning.getOrDefault(server.id(), 0) < SLOTS) {
            mRunning.merge(server.id(), 1, Integer::sum);
            mRuns.add(new Run(place.placement(), mMillis));
            return;
        }
        mRejected++;
        place.placement().end();
        Set<String> excluded = new HashSet<>(rejectedBy);
        excluded.add(server.id());
        mRejectedBy.put(place.call(), excluded);
        if (excluded.size() >= MAX_ATTEMPTS) {
            mRefused++;
            return;
        }
        gateway.mDispatcher
                .resubmit(place.call(), mRequestsById.get(place.call()), excluded, gateway.mNow)
                .forEach(a -> apply(gateway, a, excluded));
    }

    private static String id(DispatchAction<String> action) {
        return action instanceof DispatchAction.Place<String> place ? place.call() : "";
    }

    private void run(long millis, boolean frozen) {
        for (long end = mMillis + millis; mMillis < end; ) {
            step(frozen);
        }
    }

    @Test
    void requestsFindFreeEnginesWhileGatewaysDoNotHearOfEachOther() {
        run(1_000, false);
        assertWithMessage("refused in calm").that(mRefused).isEqualTo(0);
        int before = mRequests;
        mRejected = 0;
        run(FROZEN_MILLIS, true);
        int asked = mRequests - before;
        assertWithMessage("refused of %s", asked).that(mRefused).isAtMost(asked / 20);
    }
}
