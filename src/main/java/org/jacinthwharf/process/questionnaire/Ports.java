package org.jacinthwharf.process.questionnaire;

/**
 * The ports that the processes of one VM listen on.
 *
 * <p>Immutable.
 *
 * @param routerHttp port of the router for callers and backend servers
 * @param routerPeer port of the router for other processes of the fleet
 * @param routerAdmin admin port of the router
 * @param controlHttp port of the control member for operators
 * @param controlPeer port of the control member for other processes of the fleet
 * @param controlAdmin admin port of the control member
 */
public record Ports(
        int routerHttp,
        int routerPeer,
        int routerAdmin,
        int controlHttp,
        int controlPeer,
        int controlAdmin) {

    /** Returns the default ports. */
    public static Ports defaults() {
        return new Ports(8080, 7400, 9400, 8081, 7401, 9401);
    }
}
