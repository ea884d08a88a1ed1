package org.jacinthwharf.process.router;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Request;
import org.jacinthwharf.process.loop.EventLoop;

/**
 * The attempts whose end has not been reported yet.
 *
 * <p>Ends those whose abort has no effect: the HTTP client loses an abort that comes between two
 * informational answers, and then reads such answers without end. Thread-safe; listeners are called
 * on the event loop. Invariant: each attempt ends once.
 */
final class OpenAttempts {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    /** An abort takes effect at once, unless the threads of the client are held up. */
    private static final long ABORT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EventLoop mLoop;
    private final Set<OpenAttempt> mOpen = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean mCheckScheduled = new AtomicBoolean();

    OpenAttempts(EventLoop loop) {
        mLoop = loop;
    }

    /** Adds an attempt that is about to be sent. */
    OpenAttempt add(Request request, AttemptListener listener) {
        OpenAttempt attempt = new OpenAttempt(request, listener);
        mOpen.add(attempt);
        scheduleCheck();
        return attempt;
    }

    private void scheduleCheck() {
        if (mCheckScheduled.compareAndSet(false, true)) {
            mLoop.schedule(CHECK_INTERVAL, this::check);
        }
    }

    private void check() {
        long now = mLoop.nowNanos();
        mOpen.forEach(a -> a.endIfAbortIsLost(now));
        mCheckScheduled.set(false);
        if (!mOpen.isEmpty()) {
            scheduleCheck();
        }
    }

    /** An attempt in flight. */
    final class OpenAttempt {
        private final Request mRequest;
        private final AttemptListener mListener;

        /** When the abort was first seen, or 0; used on the event loop only. */
        private long mAbortSeenNanos;

        private OpenAttempt(Request request, AttemptListener listener) {
            mRequest = request;
            mListener = listener;
        }

        /** Removes the attempt; returns false if its end has been reported already. */
        boolean end() {
            return mOpen.remove(this);
        }

        private void endIfAbortIsLost(long nowNanos) {
            Throwable cause = mRequest.getAbortCause();
            if (cause == null) {
                return;
            }
            if (mAbortSeenNanos == 0) {
                mAbortSeenNanos = nowNanos;
            } else if (nowNanos - mAbortSeenNanos >= ABORT_NANOS && end()) {
                LOGGER.atWarning().log("event=abort_lost cause='%s'", cause);
                Connection connection = mRequest.getConnection();
                if (connection != null) {
                    connection.close();
                }
                mListener.onFailed(true, cause);
            }
        }
    }
}
