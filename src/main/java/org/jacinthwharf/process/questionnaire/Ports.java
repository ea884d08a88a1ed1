package org.jacinthwharf.process.questionnaire;

/**
 * The ports that the processes of one VM listen on.
 *
 * <p>Immutable.
 *
 * @param routerHttp callers and backend servers reach the router
 * @param routerPeer other processes reach the router
 * @param routerAdmin admin port of the router
 * @param controlHttp operators reach the control member
 * @param controlPeer other processes reach the control member
 * @param controlAdmin admin port of the control member
 */
public record Ports(
        int routerHttp,
        int routerPeer,
        int routerAdmin,
        int controlHttp,
        int controlPeer,
        int controlAdmin) {

    /** Returns the ports that apply where answers say nothing. */
    public static Ports defaults() {
        return new Ports(8080, 7400, 9400, 8081, 7401, 9401);
    }
}
