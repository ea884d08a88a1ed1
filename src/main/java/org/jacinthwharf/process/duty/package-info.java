/**
 * Duties: calls to the infrastructure outside the fleet that one process makes at a time. Start
 * with {@link org.jacinthwharf.process.duty.Duty}; {@code docs/design/duties.md} states the rules.
 */
package org.jacinthwharf.process.duty;
