package org.jacinthwharf.process.settings;

/**
 * Bounds on what callers may use of one router. Each has a default.
 *
 * <p>Immutable.
 *
 * @param maxBodyBytes largest request body
 * @param maxHeaderBytes largest request header
 * @param bodyTimeoutMs longest pause while a request body is read
 * @param maxQueuedPerCustomer most requests of one customer that wait in the router
 * @param maxQueued most requests that wait in the router
 * @param defaultDeadlineMs deadline of a request that names none
 * @param maxDeadlineMs longest deadline a request may name; also the longest request duration
 * @param drainDelayMs time between readiness turning off and the end of accepting connections
 */
public record Limits(
        int maxBodyBytes,
        int maxHeaderBytes,
        long bodyTimeoutMs,
        int maxQueuedPerCustomer,
        int maxQueued,
        long defaultDeadlineMs,
        long maxDeadlineMs,
        long drainDelayMs) {

    /** Returns the limits that apply where settings say nothing. */
    public static Limits defaults() {
        return new Limits(1 << 20, 16 << 10, 10_000, 200, 5_000, 30_000, 120_000, 3_000);
    }
}
