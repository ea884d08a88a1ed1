package org.jacinthwharf.process.settings;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Settings of a router process.
 *
 * <p>Immutable. The router itself is one of {@code routers}.
 *
 * @param vmId VM that the router runs on
 * @param failureDomain failure domain of the VM
 * @param region region of the failure domain
 * @param listen addresses to listen on
 * @param routers all routers of the fleet, this one included
 * @param controlMembers all control members
 * @param limits limits on callers
 */
public record RouterSettings(
        String vmId,
        String failureDomain,
        String region,
        Listen listen,
        List<RouterPeer> routers,
        List<ControlPeer> controlMembers,
        Limits limits) {

    /** Creates settings with copies of the lists. */
    public RouterSettings {
        routers = ImmutableList.copyOf(routers);
        controlMembers = ImmutableList.copyOf(controlMembers);
    }
}
