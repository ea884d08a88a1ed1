package org.jacinthwharf.connection;

import static com.google.common.truth.Truth.assertThat;

import org.jacinthwharf.connection.SilenceDetector.ProbeResult;
import org.jacinthwharf.connection.SilenceDetector.Verdict;
import org.junit.jupiter.api.Test;

/** Guards against requests stuck on silent connections and against suspecting slow servers. */
final class SilenceDetectorTest {
    private static final long MS = 1_000_000L;

    private final SilenceDetector mDetector = new SilenceDetector(1_000 * MS, 0);

    /** Suspecting the server for a silent connection would take a healthy server out of use. */
    @Test
    void serverThatAnswersOnNewConnectionIsNotSuspected() {
        assertThat(mDetector.onTick(1_000 * MS)).isEqualTo(Verdict.WAIT);
        assertThat(mDetector.onTick(1_001 * MS)).isEqualTo(Verdict.PROBE);
        assertThat(mDetector.onTick(1_002 * MS)).isEqualTo(Verdict.WAIT);
        assertThat(mDetector.onProbe(ProbeResult.ANSWERED, 1_100 * MS))
                .isEqualTo(Verdict.REPLACE_CONNECTION);
    }

    /** Without the timeout, requests on a dead server would wait until their deadline. */
    @Test
    void serverWithoutAnswerWithinHalfSecondIsSuspected() {
        mDetector.onTick(1_001 * MS);
        assertThat(mDetector.onTick(1_500 * MS)).isEqualTo(Verdict.WAIT);
        assertThat(mDetector.onTick(1_501 * MS)).isEqualTo(Verdict.SUSPECT_SERVER);
        assertThat(mDetector.onProbe(ProbeResult.ANSWERED, 1_502 * MS)).isEqualTo(Verdict.WAIT);
    }

    /** Cancelling a request that the server still processes would waste the work done so far. */
    @Test
    void slowServerAndProgressDuringTheProbeMeanWaiting() {
        mDetector.onTick(1_001 * MS);
        assertThat(mDetector.onProbe(ProbeResult.LISTS_REQUEST, 1_100 * MS))
                .isEqualTo(Verdict.WAIT);
        assertThat(mDetector.onTick(2_100 * MS)).isEqualTo(Verdict.WAIT);
        assertThat(mDetector.onTick(2_101 * MS)).isEqualTo(Verdict.PROBE);
        mDetector.onProgress(2_102 * MS);
        assertThat(mDetector.onProbe(ProbeResult.ANSWERED, 2_103 * MS)).isEqualTo(Verdict.WAIT);
    }

    /** A limit that ignores the route's usual latency would probe slow routes all the time. */
    @Test
    void limitIsFourTimesThePercentileAndRoutesAreBounded() {
        FirstByteTimes times = new FirstByteTimes();
        for (int i = 1; i <= 100; i++) {
            times.record("slow", i * 10 * MS);
            times.record("fast", MS);
        }
        assertThat(times.percentile95Nanos("slow")).isEqualTo(950 * MS);
        assertThat(times.silenceLimitNanos("slow")).isEqualTo(3_800 * MS);
        assertThat(times.silenceLimitNanos("fast")).isEqualTo(1_000 * MS);
        assertThat(times.silenceLimitNanos("new")).isEqualTo(1_000 * MS);
        for (int i = 0; i < 5_000; i++) {
            times.record("slow", MS);
            times.record("route" + i, MS);
        }
        assertThat(times.silenceLimitNanos("slow")).isEqualTo(1_000 * MS);
        assertThat(times.routeCount()).isAtMost(FirstByteTimes.MAX_ROUTES);
    }

    /** The longer a connection is idle, the likelier a middlebox has dropped its state. */
    @Test
    void idleConnectionIsDroppedAfterFiveSeconds() {
        assertThat(IdleConnectionExpiry.isExpired(-MS, 4_998 * MS)).isFalse();
        assertThat(IdleConnectionExpiry.isExpired(-MS, 4_999 * MS)).isTrue();
    }
}
