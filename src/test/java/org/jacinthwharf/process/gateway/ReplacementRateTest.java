package org.jacinthwharf.process.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.jacinthwharf.connection.ServerAddress;
import org.junit.jupiter.api.Test;

/**
 * Guards against an id that is sent over and over, by one caller or many, and costs its server a
 * connection each time.
 */
final class ReplacementRateTest {
    private static final ServerAddress SERVER = ServerAddress.parse("10.0.0.1:80").orElseThrow();
    private static final ServerAddress OTHER = ServerAddress.parse("10.0.0.2:80").orElseThrow();
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ReplacementRate mRate = new ReplacementRate();

    /** Replaces connections at a time as long as that is allowed; returns their number. */
    private int replaceAll(ServerAddress server, long nanos) {
        int count = 0;
        while (mRate.allows(server, nanos)) {
            mRate.onReplaced(server, nanos);
            count++;
        }
        return count;
    }

    @Test
    void allowsBurstsAndThenTheRate() {
        // Nanosecond clocks may be negative.
        long start = -5 * SECOND;
        assertThat(replaceAll(SERVER, start)).isEqualTo(ReplacementRate.BURST);
        int within10Seconds = 0;
        for (long nanos = start; nanos < start + 10 * SECOND; nanos += SECOND / 1_000) {
            within10Seconds += replaceAll(SERVER, nanos);
        }
        assertThat(within10Seconds).isAtMost(10 * ReplacementRate.PER_SECOND);
        assertThat(within10Seconds).isAtLeast(10 * ReplacementRate.PER_SECOND - 1);
    }

    @Test
    void limitsEachServerByItself() {
        replaceAll(SERVER, 0);
        assertThat(mRate.allows(SERVER, 0)).isFalse();
        assertThat(replaceAll(OTHER, 0)).isEqualTo(ReplacementRate.BURST);
    }

    @Test
    void forgetsNothingThatStillCounts() {
        replaceAll(SERVER, 0);
        mRate.removeExpired(SECOND / 2);
        int half = ReplacementRate.PER_SECOND / 2;
        assertThat(replaceAll(SERVER, SECOND / 2)).isEqualTo(half);
        mRate.removeExpired(3 * SECOND);
        assertThat(replaceAll(SERVER, 3 * SECOND)).isEqualTo(ReplacementRate.BURST);
    }
}
