package org.jacinthwharf.connection;

import java.util.concurrent.TimeUnit;

/**
 * Decides when an idle pooled connection to a backend server is dropped. Stateless and thread-safe.
 *
 * <p>A middlebox may drop the state of an idle connection, and a request sent on it is then lost.
 * The shorter the limit, the rarer this is.
 */
public final class IdleConnectionExpiry {
    /** Maximum idle time of a connection that is reused. */
    public static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private IdleConnectionExpiry() {}

    /** Returns whether a connection that was last used at {@code lastUsedNanos} is dropped. */
    public static boolean isExpired(long lastUsedNanos, long nowNanos) {
        return nowNanos - lastUsedNanos >= MAX_IDLE_NANOS;
    }
}
