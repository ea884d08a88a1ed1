package org.jacinthwharf.process.scaling;

import org.jacinthwharf.wire.generated.CapacityOrder;

/** A service in a failure domain, which orders are about. Immutable. */
record Subject(String service, String failureDomain) {
    static Subject of(CapacityOrder order) {
        return new Subject(order.getService(), order.getFailureDomain());
    }
}
