package org.jacinthwharf.connection;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the time to first byte of each route, and derives how long a request may make no progress
 * before it is probed.
 *
 * <p>Invariants: the percentile of a route covers its last {@link #SAMPLES} answers; the limit is
 * never below {@link #MIN_LIMIT_NANOS}. Memory: at most {@link #MAX_ROUTES} routes of about 1 KB;
 * the least recently used route is evicted and starts over at the minimum limit.
 *
 * <p>Not thread-safe; used on the event loop. Recording costs constant time; the first limit after
 * a recording sorts the samples.
 */
public final class FirstByteTimes {
    /** Minimum time without progress after which a request is probed. */
    public static final long MIN_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    static final int SAMPLES = 128;
    static final int MAX_ROUTES = 1_024;

    private static final int PERCENTILE = 95;
    private static final int LIMIT_FACTOR = 4;

    private final Map<String, Samples> mRoutes =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Samples> eldest) {
                    return size() > MAX_ROUTES;
                }
            };

    /**
     * Records that the first byte of an answer came {@code nanos} after the request was sent.
     *
     * @throws IllegalArgumentException if {@code nanos} is negative
     */
    public void record(String route, long nanos) {
        checkArgument(nanos >= 0, "negative time to first byte: %s", nanos);
        mRoutes.computeIfAbsent(route, r -> new Samples()).add(nanos);
    }

    /** Returns the 95th percentile of the route in nanoseconds; 0 if no answer was recorded. */
    public long percentile95Nanos(String route) {
        Samples samples = mRoutes.get(route);
        return samples == null ? 0 : samples.percentile95();
    }

    /** Returns the time without progress after which a request of the route is probed. */
    public long silenceLimitNanos(String route) {
        return Math.max(MIN_LIMIT_NANOS, LIMIT_FACTOR * percentile95Nanos(route));
    }

    int routeCount() {
        return mRoutes.size();
    }

    /** Ring buffer of the last samples of one route. */
    private static final class Samples {
        private final long[] mNanos = new long[SAMPLES];
        private long mCount;
        private long mPercentile95;
        private boolean mPercentileStale;

        void add(long nanos) {
            mNanos[(int) (mCount % SAMPLES)] = nanos;
            mCount++;
            mPercentileStale = true;
        }

        long percentile95() {
            if (mPercentileStale) {
                int n = (int) Math.min(mCount, SAMPLES);
                long[] sorted = Arrays.copyOf(mNanos, n);
                Arrays.sort(sorted);
                int rank = (n * PERCENTILE + 99) / 100;
                mPercentile95 = sorted[rank - 1];
                mPercentileStale = false;
            }
            return mPercentile95;
        }
    }
}
