package org.jacinthwharf.process.duty;

import java.util.List;
import org.jacinthwharf.wire.generated.CapacityOrder;

/** Decides how many servers are wanted. Called on the event loop of the holder only. */
@FunctionalInterface
public interface ScalingSource {
    /**
     * Returns the orders that should be in force, with service, failure domain, servers and reason;
     * a service and failure domain that is not listed keeps its last order.
     *
     * @param lastOrders the last order of each service and failure domain
     */
    List<CapacityOrder> wanted(List<CapacityOrder> lastOrders);
}
