package org.jacinthwharf.process.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.jacinthwharf.connection.ServerAddress;
import org.jacinthwharf.id.RequestId;
import org.junit.jupiter.api.Test;

/**
 * Guards against an id that is sent over and over, by one caller or many, and costs its server a
 * connection each time.
 */
final class ReplacementRateTest {
    private static final ServerAddress SERVER = ServerAddress.parse("10.0.0.1:80").orElseThrow();
    private static final ServerAddress OTHER = ServerAddress.parse("10.0.0.2:80").orElseThrow();
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private static final RequestId ID = RequestId.of("a");

    private final ReplacementRate mRate = new ReplacementRate();
    private int mIds;

    /** Replaces connections for one id as long as that is allowed; returns their number. */
    private int replaceAll(ServerAddress server, RequestId id, long nanos) {
        int count = 0;
        while (mRate.allows(server, id, nanos)) {
            mRate.onReplaced(server, id, nanos);
            count++;
        }
        return count;
    }

    /** The same with another id for each connection. */
    private int replaceAllForNewIds(ServerAddress server, long nanos) {
        int count = 0;
        for (RequestId id = newId(); mRate.allows(server, id, nanos); id = newId()) {
            mRate.onReplaced(server, id, nanos);
            count++;
        }
        return count;
    }

    private RequestId newId() {
        return RequestId.of("id-" + mIds++);
    }

    @Test
    void allowsBurstsOfAnIdAndThenItsRate() {
        // Nanosecond clocks may be negative.
        long start = -5 * SECOND;
        assertThat(replaceAll(SERVER, ID, start)).isEqualTo(ReplacementRate.ID_RATE.burst());
        int within10Seconds = 0;
        for (long nanos = start; nanos < start + 10 * SECOND; nanos += SECOND / 1_000) {
            within10Seconds += replaceAll(SERVER, ID, nanos);
        }
        int expected = 10 * ReplacementRate.ID_RATE.perSecond();
        assertThat(within10Seconds).isAtMost(expected);
        assertThat(within10Seconds).isAtLeast(expected - 1);
    }

    @Test
    void allowsTheRateOfOneServerForAllIds() {
        int burst = ReplacementRate.SERVER_RATE.burst();
        assertThat(replaceAllForNewIds(SERVER, 0)).isEqualTo(burst);
        assertThat(replaceAllForNewIds(SERVER, SECOND / 2))
                .isEqualTo(ReplacementRate.SERVER_RATE.perSecond() / 2);
    }

    @Test
    void anIdThatIsSentOverAndOverLeavesRoomForOthers() {
        for (long nanos = 0; nanos < 10 * SECOND; nanos += SECOND / 10) {
            replaceAll(SERVER, ID, nanos);
            assertThat(mRate.allows(SERVER, newId(), nanos)).isTrue();
        }
    }

    @Test
    void limitsEachServerByItself() {
        replaceAllForNewIds(SERVER, 0);
        assertThat(mRate.allows(SERVER, newId(), 0)).isFalse();
        assertThat(replaceAllForNewIds(OTHER, 0)).isEqualTo(ReplacementRate.SERVER_RATE.burst());
    }

    @Test
    void forgetsNothingThatStillCounts() {
        replaceAll(SERVER, ID, 0);
        mRate.removeExpired(SECOND);
        assertThat(replaceAll(SERVER, ID, SECOND)).isEqualTo(ReplacementRate.ID_RATE.perSecond());
        mRate.removeExpired(10 * SECOND);
        assertThat(replaceAll(SERVER, ID, 10 * SECOND)).isEqualTo(ReplacementRate.ID_RATE.burst());
    }
}
