package org.jacinthwharf.process.settings;

/**
 * A router of the fleet as the other processes reach it.
 *
 * <p>Immutable.
 *
 * @param vmId VM that the router runs on
 * @param failureDomain failure domain of the VM
 * @param region region of the failure domain
 * @param peer where other processes connect
 */
public record RouterPeer(String vmId, String failureDomain, String region, Endpoint peer) {}
