package org.jacinthwharf.process.settings;

/**
 * Bounds that the fleet guarantees to callers, backend servers and operators; set by the
 * deployment.
 *
 * <p>Immutable.
 *
 * @param announceMillis interval at which backend servers announce themselves
 * @param stopGraceMillis time between the signal to stop and the end of the process
 * @param retryRatio retries per request in one window, over all gateways
 * @param retryWindowMillis length of the window
 * @param retrySlack number of retries in one window allowed beyond the ratio
 */
public record NodeBounds(
        long announceMillis,
        long stopGraceMillis,
        double retryRatio,
        long retryWindowMillis,
        double retrySlack) {}
