package org.jacinthwharf.request.admission;

import com.google.common.base.Preconditions;

/**
 * Limits of the waiting requests in one router.
 *
 * <p>Immutable.
 *
 * @param perCustomer maximum number of waiting requests of one customer over all pools
 * @param total maximum number of waiting requests of all customers
 */
public record QueueLimits(int perCustomer, int total) {
    /** Creates limits; both must be positive. */
    public QueueLimits {
        Preconditions.checkArgument(
                perCustomer > 0, "perCustomer must be positive: %s", perCustomer);
        Preconditions.checkArgument(total > 0, "total must be positive: %s", total);
    }
}
