package org.jacinthwharf.request.crash;

/**
 * One life of a backend server.
 *
 * <p>Immutable.
 *
 * @param server id that the server announces
 * @param bornMillis when it started, in Unix milliseconds; 0 if not announced
 */
public record ServerIncarnation(String server, long bornMillis) {}
