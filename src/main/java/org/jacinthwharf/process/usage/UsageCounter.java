package org.jacinthwharf.process.usage;

import com.google.common.base.Preconditions;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Counts the requests that backend servers began, by window and customer, at one gateway.
 *
 * <p>Not thread-safe; has no clock of its own. Invariant: counts never decrease, and only the last
 * {@link #KEPT_WINDOWS} windows are kept.
 */
public final class UsageCounter {
    /** A minute at 5 s each: longer than the control members may be away together. */
    public static final int KEPT_WINDOWS = 12;

    private final long mWindowMillis;
    private final TreeMap<Long, Map<String, Long>> mWindows = new TreeMap<>();

    /** Creates a counter for windows of the given length. */
    public UsageCounter(long windowMillis) {
        Preconditions.checkArgument(windowMillis > 0, "window of %s ms", windowMillis);
        mWindowMillis = windowMillis;
    }

    /** Counts a request that a backend server began at the given time of the fleet. */
    public void count(String customer, long fleetMillis) {
        long window = windowAt(fleetMillis);
        if (!mWindows.isEmpty() && window <= mWindows.lastKey() - KEPT_WINDOWS) {
            return;
        }
        mWindows.computeIfAbsent(window, w -> new HashMap<>()).merge(customer, 1L, Long::sum);
        mWindows.headMap(mWindows.lastKey() - KEPT_WINDOWS, true).clear();
    }

    /** Returns the number of the window that a time of the fleet lies in. */
    public long windowAt(long fleetMillis) {
        return Math.floorDiv(fleetMillis, mWindowMillis);
    }

    /** Returns the counts by window and customer; a view that changes with further requests. */
    NavigableMap<Long, Map<String, Long>> windows() {
        return Collections.unmodifiableNavigableMap(mWindows);
    }
}
