/**
 * Metering: how many requests of each customer backend servers began in a window of the wall clock.
 * {@link org.jacinthwharf.process.usage.UsageCounter} counts at a gateway, {@link
 * org.jacinthwharf.process.usage.UsageCollector} adds up at a control member.
 */
package org.jacinthwharf.process.usage;
