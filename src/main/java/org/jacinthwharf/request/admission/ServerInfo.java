package org.jacinthwharf.request.admission;

import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.PoolId;

/**
 * A router's information about a backend server of its failure domain.
 *
 * <p>Immutable.
 *
 * @param warm whether the server announced itself warm in this incarnation
 * @param usable false while the server is suspect, leaving or in a failure domain that is out of
 *     service
 */
public record ServerInfo(
        BackendServerId server,
        long incarnation,
        String address,
        PoolId pool,
        boolean warm,
        int warmLimit,
        boolean usable) {}
