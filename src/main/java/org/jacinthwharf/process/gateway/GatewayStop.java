package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.function.IntSupplier;

/**
 * The steps of a graceful shutdown of a gateway.
 *
 * <p>Runs once, on a thread other than the event loop, and blocks until the process may exit.
 */
final class GatewayStop {
    /** A request may still be in transit on a connection that has been idle for less than this. */
    static final long MIN_IDLE_NANOS = 300_000_000L;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The load balancer probes every second and stops sending after two failed probes. */
    private static final long LOAD_BALANCER_DRAIN_MILLIS = 2_600;

    /** Part of the grace time reserved for exiting before the process is killed. */
    private static final long EXIT_RESERVE_MILLIS = 400;

    private static final long POLL_MILLIS = 50;

    private final long mGraceMillis;
    private final long mEndNanos;

    /**
     * Creates the steps of a stop that begins now.
     *
     * @param graceMillis time until the process is killed
     */
    GatewayStop(long graceMillis, long nowNanos) {
        mGraceMillis = graceMillis;
        mEndNanos = nowNanos + (graceMillis - EXIT_RESERVE_MILLIS) * 1_000_000L;
    }

    /** Returns when calls that are still open are ended. */
    long endNanos() {
        return mEndNanos;
    }

    /**
     * Waits until the load balancer has stopped sending, then until the open calls have ended.
     *
     * <p>The listener stays open until the end, since closing it resets the connections that wait
     * to be accepted, whose callers may have sent a request long before.
     *
     * @param refuseNew makes all further requests be refused
     * @param openCalls closes idle connections and returns the number of open calls and of requests
     *     that are arriving
     * @param endCalls ends the calls that are open at the end of the grace time
     * @param closeListener stops accepting connections
     */
    void run(Runnable refuseNew, IntSupplier openCalls, Runnable endCalls, Runnable closeListener) {
        sleep(Math.min(LOAD_BALANCER_DRAIN_MILLIS, mGraceMillis / 2));
        refuseNew.run();
        int open = openCalls.getAsInt();
        while (open > 0 && System.nanoTime() < mEndNanos) {
            sleep(POLL_MILLIS);
            open = openCalls.getAsInt();
        }
        endCalls.run();
        // Leaves time to accept and refuse what waited for a busy event loop, and to flush answers.
        sleep(POLL_MILLIS);
        closeListener.run();
        sleep(POLL_MILLIS);
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
