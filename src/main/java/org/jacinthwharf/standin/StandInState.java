package org.jacinthwharf.standin;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.jacinthwharf.wire.generated.ServerState;

/**
 * What a stand-in backend server counts, for checks.
 *
 * <p>Thread-safe.
 */
final class StandInState {
    private final Set<String> mRunning = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> mExecutions = new ConcurrentHashMap<>();
    private final AtomicLong mRequests = new AtomicLong();
    private final long mWarmAtMillis;
    private volatile ServerState mForced = ServerState.SERVER_STATE_UNSPECIFIED;
    private int mMostRunning;
    private int mMostRunningCold;

    StandInState(long warmAtMillis) {
        mWarmAtMillis = warmAtMillis;
    }

    ServerState state() {
        if (mForced != ServerState.SERVER_STATE_UNSPECIFIED) {
            return mForced;
        }
        return System.currentTimeMillis() >= mWarmAtMillis ? ServerState.WARM : ServerState.COLD;
    }

    /** Overrides the state, for tests of servers that turn cold or leave. */
    void force(ServerState state) {
        mForced = state;
    }

    synchronized void started(String requestId) {
        mRequests.incrementAndGet();
        mRunning.add(requestId);
        mMostRunning = Math.max(mMostRunning, mRunning.size());
        if (state() == ServerState.COLD) {
            mMostRunningCold = Math.max(mMostRunningCold, mRunning.size());
        }
    }

    void ended(String requestId) {
        mRunning.remove(requestId);
    }

    boolean isRunning(String requestId) {
        return mRunning.stream().anyMatch(r -> r.startsWith(requestId + "/"));
    }

    int running() {
        return mRunning.size();
    }

    /** Counts one execution of the call with the given request key. */
    void executed(String key) {
        mExecutions.merge(key, 1, Integer::sum);
    }

    Map<String, Integer> executions() {
        return new TreeMap<>(mExecutions);
    }

    long requests() {
        return mRequests.get();
    }

    synchronized int mostRunning() {
        return mMostRunning;
    }

    synchronized int mostRunningCold() {
        return mMostRunningCold;
    }
}
