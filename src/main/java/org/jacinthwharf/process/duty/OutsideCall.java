package org.jacinthwharf.process.duty;

import com.google.common.collect.ImmutableSortedMap;

/**
 * A call to the infrastructure outside the fleet.
 *
 * <p>Immutable.
 */
public sealed interface OutsideCall {
    /** Returns the duty that the call belongs to. */
    Duty duty();

    /** Returns the fencing token of the holder. */
    long token();

    /**
     * Reports the requests that backend servers began in one window.
     *
     * @param window number of the window
     * @param counts requests by customer; customers without requests are left out
     */
    record Usage(long token, long window, ImmutableSortedMap<String, Long> counts)
            implements OutsideCall {
        @Override
        public Duty duty() {
            return Duty.USAGE_REPORT;
        }
    }

    /** Orders the number of servers that a service is to have in a failure domain. */
    record Capacity(long token, String service, String failureDomain, int servers)
            implements OutsideCall {
        @Override
        public Duty duty() {
            return Duty.SERVER_SCALING;
        }
    }
}
