/**
 * Metrics of a process and the admin HTTP server. The values of reason labels are enums. {@code
 * FleetMetrics} is the entry point.
 */
package org.jacinthwharf.process.metrics;
