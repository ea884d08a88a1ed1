package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.function.IntSupplier;

/**
 * The order of a planned stop of a gateway.
 *
 * <p>Runs once, on a thread other than the event loop, and blocks until the process may end.
 */
final class GatewayStop {
    /** A caller may have sent a request on a connection that was idle for less than this. */
    static final long IDLE_NANOS = 300_000_000L;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The load balancer asks every second and stops sending after two misses. */
    private static final long BALANCER_MILLIS = 2_600;

    /** Left of the grace time, to end by ourselves and not by force. */
    private static final long RESERVE_MILLIS = 400;

    private static final long POLL_MILLIS = 50;

    private final long mGraceMillis;

    GatewayStop(long graceMillis) {
        mGraceMillis = graceMillis;
    }

    /**
     * Waits for the balancer, then for the open calls.
     *
     * @param openCalls closes idle connections and returns the number of calls that are open
     * @param closeListener ends the acceptance of connections
     */
    void run(IntSupplier openCalls, Runnable closeListener) {
        long start = System.nanoTime();
        long end = start + (mGraceMillis - RESERVE_MILLIS) * 1_000_000L;
        sleep(Math.min(BALANCER_MILLIS, mGraceMillis / 2));
        closeListener.run();
        int open = openCalls.getAsInt();
        while (open > 0 && System.nanoTime() < end) {
            sleep(POLL_MILLIS);
            open = openCalls.getAsInt();
        }
        // Lets the last answers and the closing of idle connections leave the process.
        sleep(2 * POLL_MILLIS);
        LOGGER.atInfo().log("event=calls_finished open=%d", open);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
