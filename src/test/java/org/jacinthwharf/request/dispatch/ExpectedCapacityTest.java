package org.jacinthwharf.request.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.jacinthwharf.wire.generated.ExpectedServer;
import org.jacinthwharf.wire.generated.ExpectedServers;
import org.junit.jupiter.api.Test;

/** Guards the wait that refused callers are told while servers start. */
final class ExpectedCapacityTest {
    private static final long SECOND = 1_000_000_000L;

    private final ExpectedCapacity mExpected = new ExpectedCapacity();

    ExpectedCapacityTest() {
        mExpected.update(
                ExpectedServers.newBuilder()
                        .addServers(
                                ExpectedServer.newBuilder()
                                        .setService("s")
                                        .setServers(30)
                                        .setReadyInMillis(2_000))
                        .build(),
                SECOND);
    }

    /** Without the servers to come, callers stay away for longer than the queue lasts. */
    @Test
    void serversCountFromTheTimeAtWhichTheyAreReady() {
        assertThat(shortened("s", 6, 1)).isEqualTo(3 * SECOND);
        assertThat(shortened("s", 6, 2)).isEqualTo(2 * SECOND + SECOND / 4);
        assertThat(shortened("s", 1, 1)).isEqualTo(SECOND);
        assertThat(shortened("other", 6, 1)).isEqualTo(6 * SECOND);
    }

    /** Servers that a lost holder spoke of may never come. */
    @Test
    void serversThatAreNoLongerSpokenOfDoNotCount() {
        assertThat(shortened("s", 6, 5)).isEqualTo(6 * SECOND);
    }

    private long shortened(String service, int waitSeconds, int nowSeconds) {
        return mExpected.shortened(service, waitSeconds * SECOND, () -> 10, nowSeconds * SECOND);
    }
}
