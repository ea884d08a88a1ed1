package org.jacinthwharf.process.settings;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Settings of a control process.
 *
 * <p>Immutable. The member itself is one of {@code controlMembers}.
 *
 * @param vmId VM that the member runs on
 * @param failureDomain failure domain of the VM
 * @param region region of the failure domain
 * @param listen addresses to listen on
 * @param controlMembers the initial members; later changes are in the replicated log
 * @param routers all routers of the fleet, for the report of the revision that each has applied
 * @param dataFolder folder for all files of the process
 * @param operatorTokenFile file that holds the bearer token of operators
 */
public record ControlSettings(
        String vmId,
        String failureDomain,
        String region,
        Listen listen,
        List<ControlPeer> controlMembers,
        List<RouterPeer> routers,
        String dataFolder,
        String operatorTokenFile) {

    /** Creates settings with copies of the lists. */
    public ControlSettings {
        controlMembers = ImmutableList.copyOf(controlMembers);
        routers = ImmutableList.copyOf(routers);
    }
}
