package org.jacinthwharf.request.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * The gateway that all callers of a customer reach when that customer grows: quiet until then, it
 * gets a burst. The pattern of 7143aae0 and a5a9faff in the journal (large fleet, quiet-1 and
 * trouble-1, at 10 s).
 *
 * <p>One dispatcher places requests at simulated engines that prefill a prompt in a fixed time.
 */
final class GrownCustomerTest {
    private static final int ENGINES = 6;

    /**
     * Time from the placement of a prompt to its first event, however many prefill at an engine.
     */
    private static final long PREFILL_MILLIS = 20;

    private static final long RUN_MILLIS = 100;
    private static final long STEP_MILLIS = 5;
    private static final int PROMPT_TOKENS = 2_000;

    /** Objective of the scenario's engines. */
    private static final long OBJECTIVE_MILLIS = 400;

    /** Time after which a gateway knows what it can start. */
    private static final long LEARNING_MILLIS = 150;

    private final DispatchScenario mScenario = new DispatchScenario();
    private final Map<Integer, Long> mStarted = new HashMap<>();

    /** Times of refusals, in milliseconds since the burst. */
    private final List<Long> mRefusals = new ArrayList<>();

    private long mMillis;

    GrownCustomerTest() {
        mScenario.addEngines(ENGINES);
    }

    private void step() {
        mMillis += STEP_MILLIS;
        mScenario.mNow += STEP_MILLIS * DispatchScenario.MILLI;
        for (int i = 0; i < mScenario.mPlacements.size(); i++) {
            long age = mMillis - mStarted.computeIfAbsent(i, k -> mMillis);
            if (age == PREFILL_MILLIS) {
                mScenario.mPlacements.get(i).onFirstEvent(mScenario.mNow);
            } else if (age == PREFILL_MILLIS + RUN_MILLIS) {
                mScenario.mPlacements.get(i).end();
            }
        }
        mScenario.recordActions(mScenario.mDispatcher.dispatchWaiting(mScenario.mNow));
    }

    private void run(long millis) {
        for (long end = mMillis + millis; mMillis < end; ) {
            step();
        }
    }

    private void quietSecond() {
        for (int i = 0; i < 3; i++) {
            submit("quiet" + i);
            run(300);
        }
        assertThat(mScenario.mPlaced).hasSize(3);
    }

    private void submit(String id) {
        mScenario.submit(mScenario.engineRequest(id, "grown", id + "-subject", 0, PROMPT_TOKENS));
    }

    private void burst(int requests) {
        for (int i = 0; i < requests; i++) {
            submit("burst" + i);
        }
        long begin = mMillis;
        while (mMillis < begin + 2 * OBJECTIVE_MILLIS) {
            int known = mScenario.mRefused.size();
            for (int i = mRefusals.size(); i < known; i++) {
                mRefusals.add(mMillis - begin);
            }
            step();
        }
    }

    // Guards against a rate of starts that was low for want of requests, not of engines.
    @Test
    void burstThatEnginesCanServeInTimeIsNotRefusedByTheRateOfTheQuietTimeBefore() {
        quietSecond();
        burst(40);
        assertThat(mScenario.mRefused).isEmpty();
        assertThat(mScenario.mPlaced).hasSize(43);
    }

    // Guards against requests that wait although it is known that they cannot start in time.
    @Test
    void requestsOfBurstThatCannotStartInTimeAreRefusedAsSoonAsThatIsKnown() {
        quietSecond();
        burst(1_000);
        long late = mRefusals.stream().filter(t -> t > LEARNING_MILLIS).count();
        assertWithMessage("refused later than learned, of %s", mRefusals.size())
                .that(late)
                .isAtMost(mRefusals.size() / 10);
        // What engines can do within the objective is used.
        assertWithMessage("started")
                .that(mScenario.mPlaced.size())
                .isAtLeast((int) (ENGINES * OBJECTIVE_MILLIS / PREFILL_MILLIS * 6 / 10));
    }
}
