package org.jacinthwharf.request.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against wrong counts at the edge of the window, and events kept while nobody counts. */
final class SlidingWindowCounterTest {
    private static final long WINDOW = 100;

    private final SlidingWindowCounter mCounter = new SlidingWindowCounter(WINDOW);

    @Test
    void eventsCountUntilTheWindowHasPassed() {
        mCounter.add(0);
        mCounter.add(50);
        assertThat(mCounter.count(100)).isEqualTo(2);
        assertThat(mCounter.count(101)).isEqualTo(1);
        assertThat(mCounter.count(151)).isEqualTo(0);
    }

    @Test
    void eventsOfEarlierWindowsAreRemovedEvenIfNobodyCounts() {
        for (long t = 0; t < 10_000; t++) {
            mCounter.add(t);
        }
        assertThat(mCounter.size()).isEqualTo(WINDOW + 1);
    }
}
