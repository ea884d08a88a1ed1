package org.jacinthwharf.process.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

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
        @JsonProperty(defaultValue = "1048576") int maxBodyBytes,
        @JsonProperty(defaultValue = "16384") int maxHeaderBytes,
        @JsonProperty(defaultValue = "10000") long bodyTimeoutMs,
        @JsonProperty(defaultValue = "200") int maxQueuedPerCustomer,
        @JsonProperty(defaultValue = "5000") int maxQueued,
        @JsonProperty(defaultValue = "30000") long defaultDeadlineMs,
        @JsonProperty(defaultValue = "120000") long maxDeadlineMs,
        @JsonProperty(defaultValue = "3000") long drainDelayMs) {

    /** Returns the limits that apply where settings say nothing. */
    public static Limits defaults() {
        return new Limits(1 << 20, 16 << 10, 10_000, 200, 5_000, 30_000, 120_000, 3_000);
    }
}
