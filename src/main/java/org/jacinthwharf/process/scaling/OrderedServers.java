package org.jacinthwharf.process.scaling;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.jacinthwharf.wire.generated.CapacityOrder;
import org.jacinthwharf.wire.generated.ExpectedServer;
import org.jacinthwharf.wire.generated.ExpectedServers;
import org.jacinthwharf.wire.generated.Service;

/** Tells which servers were ordered and are not announced yet. */
public final class OrderedServers {
    /** Start times after which a server that was ordered is no longer expected. */
    private static final double MAX_START_TIMES = 2;

    private static final double MILLIS_PER_SECOND = 1e3;

    private OrderedServers() {}

    /** Returns the servers that are expected at the given time of the fleet. */
    public static ExpectedServers expected(
            Collection<Service> services,
            Collection<CapacityOrder> orders,
            ServerCounts servers,
            long fleetMillis) {
        Map<String, Double> startMillis = new HashMap<>();
        for (Service s : services) {
            if (s.hasScaling()) {
                startMillis.put(s.getName(), MILLIS_PER_SECOND * s.getScaling().getStartSeconds());
            }
        }
        ExpectedServers.Builder expected = ExpectedServers.newBuilder();
        for (CapacityOrder order : orders) {
            int missing = order.getServers() - servers.serving(Subject.of(order));
            double start = startMillis.getOrDefault(order.getService(), 0.0);
            long age = Math.max(0, fleetMillis - order.getRecordedMillis());
            if (missing > 0 && age < MAX_START_TIMES * start) {
                expected.addServers(
                        ExpectedServer.newBuilder()
                                .setService(order.getService())
                                .setFailureDomain(order.getFailureDomain())
                                .setServers(missing)
                                .setReadyInMillis((long) Math.max(0, start - age)));
            }
        }
        return expected.build();
    }
}
