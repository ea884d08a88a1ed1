package org.jacinthwharf.process.settings;

/**
 * Addresses that a process listens on.
 *
 * <p>Immutable.
 *
 * @param http callers and backend servers at a router, operators at a control member
 * @param peer other processes of the fleet
 * @param admin metrics, liveness, readiness and status
 */
public record Listen(Endpoint http, Endpoint peer, Endpoint admin) {}
