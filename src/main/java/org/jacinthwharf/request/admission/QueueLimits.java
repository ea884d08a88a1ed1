package org.jacinthwharf.request.admission;

import com.google.common.base.Preconditions;

/**
 * How many requests may wait in one router.
 *
 * <p>Immutable.
 *
 * @param perCustomer largest number of waiting requests of one customer over all pools
 * @param total largest number of waiting requests of all customers
 */
public record QueueLimits(int perCustomer, int total) {
    /** Creates limits; both must be positive. */
    public QueueLimits {
        Preconditions.checkArgument(perCustomer > 0, "perCustomer: %s", perCustomer);
        Preconditions.checkArgument(total > 0, "total: %s", total);
    }
}
