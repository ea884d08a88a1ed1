package org.jacinthwharf.process.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against evidence about a version that is in truth about the gateway. */
final class AttemptTimesTest {
    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    @Test
    void anUnansweredAttemptHasWaitedSinceItWasSent() {
        AttemptTimes times = new AttemptTimes(millis(100), 0);
        assertThat(times.longestWaitNanos(millis(1_600), 0)).isEqualTo(millis(1_500));
        assertThat(times.isAnswered()).isFalse();
    }

    @Test
    void timeInWhichTheLoopWasHeldUpIsNoWait() {
        AttemptTimes times = new AttemptTimes(0, millis(40));
        assertThat(times.longestWaitNanos(millis(3_500), millis(3_340))).isEqualTo(millis(200));
    }

    @Test
    void aStreamThatHangsAfterItsFirstEventHasWaitedSinceThen() {
        AttemptTimes times = new AttemptTimes(0, 0);
        times.onHeard(millis(100), 0);
        times.onAnswer(millis(100));
        assertThat(times.latencyNanos(millis(5_000))).isEqualTo(millis(100));
        assertThat(times.longestWaitNanos(millis(5_000), 0)).isEqualTo(millis(4_900));
    }

    @Test
    void answerAfterLongWaitKeepsThatWait() {
        AttemptTimes times = new AttemptTimes(0, 0);
        times.onHeard(millis(1_600), 0);
        assertThat(times.longestWaitNanos(millis(1_650), 0)).isEqualTo(millis(1_600));
    }

    @Test
    void delaysOfTheLoopIncludeTheOneThatLasts() {
        LoopDelay delay = new LoopDelay(Duration.ofMillis(20), 0);
        assertThat(delay.onTick(millis(20))).isEqualTo(0);
        assertThat(delay.onTick(millis(50))).isEqualTo(millis(10));
        // The loop was suspended, and handles other events before its periodic task.
        assertThat(delay.totalNanos(millis(3_070))).isEqualTo(millis(3_010));
        assertThat(delay.onTick(millis(3_070))).isEqualTo(millis(3_000));
        assertThat(delay.totalNanos(millis(3_080))).isEqualTo(millis(3_010));
    }
}
