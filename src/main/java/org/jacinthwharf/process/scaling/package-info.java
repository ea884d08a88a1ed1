/**
 * Scaling: how many backend servers each service should have in each failure domain. {@link
 * org.jacinthwharf.process.scaling.DemandView} measures what callers ask, {@link
 * org.jacinthwharf.process.scaling.CapacityPlanner} decides; {@code docs/design/duties.md} states
 * the rules.
 */
package org.jacinthwharf.process.scaling;
