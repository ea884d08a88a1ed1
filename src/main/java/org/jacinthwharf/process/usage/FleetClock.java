package org.jacinthwharf.process.usage;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.process.loop.EventLoop;

/**
 * The time of the fleet: the median of the wall clocks of this process and those it is linked to.
 *
 * <p>Used on the event loop only. A wall clock that jumps changes the median by no more than the
 * difference between the other clocks, as long as most clocks are right.
 */
public final class FleetClock {
    /** Ten reports; a process that is not heard of for longer says nothing about the time. */
    private static final long READING_VALID_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Enough for a stable median; bounds the cost of a reading on a large fleet. */
    private static final int MAX_PEERS = 64;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EventLoop mLoop;
    private final Map<String, Reading> mReadings = new HashMap<>();

    /** A wall clock as an offset to this process's monotonic clock. */
    private record Reading(long offsetMillis, long receivedNanos) {}

    /** Creates a clock that knows only this process's own wall clock. */
    public FleetClock(EventLoop loop) {
        mLoop = loop;
    }

    /** Records the wall clock that a peer has just sent. */
    public void onReading(String peer, long wallMillis) {
        long now = mLoop.nowNanos();
        if (mReadings.size() >= MAX_PEERS) {
            mReadings.values().removeIf(r -> now - r.receivedNanos() > READING_VALID_NANOS);
        }
        if (mReadings.size() < MAX_PEERS || mReadings.containsKey(peer)) {
            mReadings.put(peer, new Reading(wallMillis - now / NANOS_PER_MILLI, now));
        }
    }

    /** Returns the time of the fleet in milliseconds since the epoch. */
    public long nowMillis() {
        long now = mLoop.nowNanos();
        long own = mLoop.nowMillis() - now / NANOS_PER_MILLI;
        long[] offsets = new long[mReadings.size() + 1];
        int count = 0;
        offsets[count++] = own;
        for (Reading r : mReadings.values()) {
            if (now - r.receivedNanos() <= READING_VALID_NANOS) {
                offsets[count++] = r.offsetMillis();
            }
        }
        Arrays.sort(offsets, 0, count);
        return now / NANOS_PER_MILLI + offsets[(count - 1) / 2];
    }
}
