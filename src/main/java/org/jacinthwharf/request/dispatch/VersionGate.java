package org.jacinthwharf.request.dispatch;

import java.util.List;

/** Decides which of the servers of a service may run a request, by their versions. */
@FunctionalInterface
public interface VersionGate {
    /**
     * Returns the servers whose version the request may be sent to.
     *
     * @param repeat whether a server has failed or turned down the request before
     */
    List<BackendServer> allowed(
            DispatchRequest request, List<BackendServer> servers, boolean repeat);
}
