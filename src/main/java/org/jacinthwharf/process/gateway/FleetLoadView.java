package org.jacinthwharf.process.gateway;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jacinthwharf.wire.generated.FleetLoad;
import org.jacinthwharf.wire.generated.ServerLoad;

/**
 * The load of the other gateways as one control member has described it, in messages that hold
 * changes only. Used on the event loop only.
 */
final class FleetLoadView {
    /**
     * Fraction of the gateways that must report to a member that stands in for a silent relay
     * before its sums are used. A gateway whose own link is slow is alone there.
     */
    private static final double MIN_REPORTING_FRACTION = 0.8;

    private final Map<String, ServerLoad> mServers = new HashMap<>();
    private List<String> mGateways = List.of();
    private int mReporting;

    /** Applies a message; messages must be applied in the order in which they were sent. */
    void apply(FleetLoad load) {
        mReporting = load.getReportingGateways();
        if (!load.getChangesOnly()) {
            mServers.clear();
            mGateways = List.of();
        }
        for (ServerLoad s : load.getServersList()) {
            String key = s.getServer() + "/" + s.getBornMillis();
            if (s.getRunning() > 0) {
                mServers.put(key, s);
            } else {
                mServers.remove(key);
            }
        }
        if (load.getGatewaysCount() > 0) {
            mGateways = ImmutableList.copyOf(load.getGatewaysList());
        }
    }

    /** Returns the load of the servers that run any request of another gateway. */
    Collection<ServerLoad> servers() {
        return Collections.unmodifiableCollection(mServers.values());
    }

    /** Returns whether the load is that of most gateways, as far as the member says. */
    boolean isReportedByMost() {
        return mReporting > 0 && mReporting >= MIN_REPORTING_FRACTION * mGateways.size();
    }

    /** Returns the VM ids of all gateways. */
    List<String> gateways() {
        return mGateways;
    }
}
