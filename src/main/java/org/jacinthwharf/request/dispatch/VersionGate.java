package org.jacinthwharf.request.dispatch;

import java.util.List;

/** Selects the servers of a service that may run a request, by version. */
@FunctionalInterface
public interface VersionGate {
    /**
     * Returns the servers with a version that may run the request.
     *
     * @param retry whether a server has failed or rejected the request before
     */
    List<BackendServer> allowed(
            DispatchRequest request, List<BackendServer> servers, boolean retry);
}
