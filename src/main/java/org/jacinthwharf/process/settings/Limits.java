package org.jacinthwharf.process.settings;

/**
 * Limits on the resources of one router that callers may use. Each has a default.
 *
 * <p>Immutable.
 *
 * @param maxBodyBytes maximum size of a request body
 * @param maxHeaderBytes maximum size of a request header
 * @param bodyTimeoutMs maximum pause while a request body is read
 * @param maxQueuedPerCustomer maximum number of queued requests of one customer
 * @param maxQueued maximum number of queued requests
 * @param defaultDeadlineMs deadline of a request that does not specify one
 * @param maxDeadlineMs maximum deadline of a request, and so its maximum duration
 * @param drainDelayMs time between turning readiness off and closing the listener
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

    /** Returns the limits that apply unless the settings override them. */
    public static Limits defaults() {
        return new Limits(1 << 20, 16 << 10, 10_000, 200, 5_000, 30_000, 120_000, 3_000);
    }
}
