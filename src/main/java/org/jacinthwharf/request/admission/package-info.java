/**
 * Decides which request runs next and where: per-customer queues, service counters, demand, slot
 * grants.
 */
package org.jacinthwharf.request.admission;
