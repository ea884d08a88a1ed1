package org.jacinthwharf.request.dispatch;

import java.util.Optional;
import java.util.function.LongConsumer;

/**
 * The assignment of one request to one backend server, from sending to completion.
 *
 * <p>Not thread-safe. Invariant: the reserved capacity is released exactly once, however often
 * {@link #end} is called.
 */
public final class Placement {
    private final BackendServer mServer;
    private final Optional<BackendServer> mCacheSource;
    private final long mHeldTokens;
    private final LongConsumer mOnFirstEvent;
    private long mPendingPrefillTokens;
    private boolean mFirstEventSeen;
    private boolean mEnded;

    Placement(
            BackendServer server,
            Optional<BackendServer> cacheSource,
            long prefillTokens,
            long heldTokens,
            long nowNanos,
            LongConsumer onFirstEvent) {
        mServer = server;
        mCacheSource = cacheSource;
        mPendingPrefillTokens = prefillTokens;
        mHeldTokens = heldTokens;
        mOnFirstEvent = onFirstEvent;
        server.onSent(prefillTokens, heldTokens, nowNanos);
    }

    public BackendServer server() {
        return mServer;
    }

    /** Returns the engine that the server may copy the shared prefix of the prompt from. */
    public Optional<BackendServer> cacheSource() {
        return mCacheSource;
    }

    /** Records that the first event has arrived, and so the prompt is prefilled. */
    public void onFirstEvent(long nowNanos) {
        if (!mFirstEventSeen) {
            mFirstEventSeen = true;
            completePrefill();
            mOnFirstEvent.accept(nowNanos);
        }
    }

    private void completePrefill() {
        mServer.onPrefilled(mPendingPrefillTokens);
        mPendingPrefillTokens = 0;
    }

    /** Releases the reserved capacity. */
    public void end() {
        if (!mEnded) {
            mEnded = true;
            completePrefill();
            mServer.onEnded(mHeldTokens);
        }
    }
}
