package org.jacinthwharf.request.dispatch;

import java.util.function.LongConsumer;

/**
 * The place of one request at one backend server, from its sending until its end.
 *
 * <p>Not thread-safe. Invariant: tokens and place are given back once, however often {@link #end}
 * is called.
 */
public final class Placement {
    private final BackendServer mServer;
    private final long mHeldTokens;
    private final LongConsumer mOnFirstEvent;
    private long mUnreadTokens;
    private boolean mFirstSeen;
    private boolean mEnded;

    Placement(
            BackendServer server,
            long unread,
            long held,
            long nowNanos,
            LongConsumer onFirstEvent) {
        mServer = server;
        mUnreadTokens = unread;
        mHeldTokens = held;
        mOnFirstEvent = onFirstEvent;
        server.onSent(unread, held, nowNanos);
    }

    /** Returns the server. */
    public BackendServer server() {
        return mServer;
    }

    /** Takes note that the prompt was read: the first event has arrived. */
    public void onFirstEvent(long nowNanos) {
        if (!mFirstSeen) {
            mFirstSeen = true;
            read();
            mOnFirstEvent.accept(nowNanos);
        }
    }

    private void read() {
        mServer.onRead(mUnreadTokens);
        mUnreadTokens = 0;
    }

    /** Gives the place back. */
    public void end() {
        if (!mEnded) {
            mEnded = true;
            read();
            mServer.onEnded(mHeldTokens);
        }
    }
}
