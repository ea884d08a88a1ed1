package org.jacinthwharf.process.settings;

/**
 * Addresses that a process listens on.
 *
 * <p>Immutable.
 *
 * @param http for callers and backend servers of a router, or operators of a control member
 * @param peer for other processes of the fleet
 * @param admin for metrics, liveness, readiness and status
 */
public record Listen(Endpoint http, Endpoint peer, Endpoint admin) {}
