package org.jacinthwharf.process.settings;

/**
 * What the fleet promises to callers, backend servers and operators; stated by whoever deploys it.
 *
 * <p>Immutable.
 *
 * @param announceMillis interval at which backend servers announce themselves
 * @param stopGraceMillis time between the order to stop and the end of the process
 * @param retryRatio repeats for each request, of all gateways together, in one window
 * @param retryWindowMillis length of that window
 * @param retrySlack repeats in one window beyond the ratio
 */
public record NodeBounds(
        long announceMillis,
        long stopGraceMillis,
        double retryRatio,
        long retryWindowMillis,
        double retrySlack) {}
