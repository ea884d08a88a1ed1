/**
 * Metrics of a process, with closed sets of label values for reasons, and the admin port; start
 * reading at {@code FleetMetrics}.
 */
package org.jacinthwharf.process.metrics;
