package org.jacinthwharf.process.settings;

/**
 * Identity and addresses of a control member, for other processes and operators.
 *
 * <p>Immutable.
 *
 * @param vmId VM that the member runs on
 * @param failureDomain failure domain of the VM
 * @param region region of the failure domain
 * @param peer where other processes connect
 * @param http where operators connect
 */
public record ControlPeer(
        String vmId, String failureDomain, String region, Endpoint peer, Endpoint http) {}
