package org.jacinthwharf.process.settings;

/**
 * Identity and address of a router, for other processes.
 *
 * <p>Immutable.
 *
 * @param vmId VM that the router runs on
 * @param failureDomain failure domain of the VM
 * @param region region of the failure domain
 * @param peer where other processes connect
 */
public record RouterPeer(String vmId, String failureDomain, String region, Endpoint peer) {}
