package org.jacinthwharf.request.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against counts that are wrong at the edge of the window, or grow while nobody asks. */
final class SlidingCountTest {
    private static final long WINDOW = 100;

    private final SlidingCount mCount = new SlidingCount(WINDOW);

    @Test
    void eventsCountUntilTheWindowHasPassed() {
        mCount.add(0);
        mCount.add(50);
        assertThat(mCount.count(100)).isEqualTo(2);
        assertThat(mCount.count(101)).isEqualTo(1);
        assertThat(mCount.count(151)).isEqualTo(0);
    }

    @Test
    void eventsOfEarlierWindowsAreForgottenEvenIfNobodyAsks() {
        for (long t = 0; t < 10_000; t++) {
            mCount.add(t);
        }
        assertThat(mCount.held()).isEqualTo(WINDOW + 1);
    }
}
