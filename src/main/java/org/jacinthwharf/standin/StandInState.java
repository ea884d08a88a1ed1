package org.jacinthwharf.standin;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.jacinthwharf.wire.generated.ServerState;

/**
 * State and request statistics of a stand-in backend server.
 *
 * <p>Thread-safe.
 */
final class StandInState {
    private final Set<String> mRunning = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> mExecutions = new ConcurrentHashMap<>();
    private final AtomicLong mRequests = new AtomicLong();
    private final long mWarmAtMillis;
    private volatile ServerState mOverride = ServerState.SERVER_STATE_UNSPECIFIED;
    private int mPeakRunning;
    private int mPeakRunningCold;

    StandInState(long warmAtMillis) {
        mWarmAtMillis = warmAtMillis;
    }

    ServerState state() {
        if (mOverride != ServerState.SERVER_STATE_UNSPECIFIED) {
            return mOverride;
        }
        return System.currentTimeMillis() >= mWarmAtMillis ? ServerState.WARM : ServerState.COLD;
    }

    /** Overrides the warm-up state, for tests of servers that turn cold or leave. */
    void overrideState(ServerState state) {
        mOverride = state;
    }

    synchronized void recordStart(String requestId) {
        mRequests.incrementAndGet();
        mRunning.add(requestId);
        mPeakRunning = Math.max(mPeakRunning, mRunning.size());
        if (state() == ServerState.COLD) {
            mPeakRunningCold = Math.max(mPeakRunningCold, mRunning.size());
        }
    }

    void recordEnd(String requestId) {
        mRunning.remove(requestId);
    }

    boolean isRunning(String requestId) {
        return mRunning.stream().anyMatch(r -> r.startsWith(requestId + "/"));
    }

    int running() {
        return mRunning.size();
    }

    /** Counts one execution of the call with the given request key. */
    void recordExecution(String key) {
        mExecutions.merge(key, 1, Integer::sum);
    }

    Map<String, Integer> executions() {
        return new TreeMap<>(mExecutions);
    }

    long requests() {
        return mRequests.get();
    }

    synchronized int peakRunning() {
        return mPeakRunning;
    }

    synchronized int peakRunningCold() {
        return mPeakRunningCold;
    }
}
