package org.jacinthwharf.request.admission;

import com.google.common.base.Preconditions;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.PoolId;

/**
 * A request that waits for a slot.
 *
 * <p>Immutable if {@code request} is.
 *
 * @param estimate estimated cost in cost units
 * @param arrivalNanos time of arrival
 * @param deadlineNanos time after which the request must not start
 * @param request the request that the router forwards
 */
public record QueuedRequest<R>(
        CustomerId customer,
        PoolId pool,
        double estimate,
        long arrivalNanos,
        long deadlineNanos,
        R request) {
    /** Creates a request; the estimate must not be negative. */
    public QueuedRequest {
        Preconditions.checkArgument(
                estimate >= 0,
                "estimate for customer %s must not be negative: %s",
                customer,
                estimate);
    }
}
