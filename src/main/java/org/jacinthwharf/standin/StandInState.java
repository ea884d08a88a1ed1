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

    /**
     * Overrides the state derived from the warm-up time, for tests of servers that report COLD or
     * LEAVING.
     */
    void overrideState(ServerState state) {
        mOverride = state;
    }

    /** Records the start of an attempt, identified by REQUEST-ID/ATTEMPT. */
    synchronized void recordStart(String attemptId) {
        mRequests.incrementAndGet();
        mRunning.add(attemptId);
        mPeakRunning = Math.max(mPeakRunning, mRunning.size());
        if (state() == ServerState.COLD) {
            mPeakRunningCold = Math.max(mPeakRunningCold, mRunning.size());
        }
    }

    void recordEnd(String attemptId) {
        mRunning.remove(attemptId);
    }

    /** Returns whether any attempt of the request is running. */
    boolean isRunning(String requestId) {
        return mRunning.stream().anyMatch(r -> r.startsWith(requestId + "/"));
    }

    int running() {
        return mRunning.size();
    }

    /** Counts one execution of the request with the given request key. */
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
