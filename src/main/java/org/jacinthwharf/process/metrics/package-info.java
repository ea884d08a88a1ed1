/**
 * Counters with closed sets of reasons, and the admin port; start reading at {@code FleetMetrics}.
 */
package org.jacinthwharf.process.metrics;
