package org.jacinthwharf.standin;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.jacinthwharf.process.settings.Endpoint;

/**
 * Identity and behaviour of a stand-in backend server.
 *
 * <p>Immutable.
 *
 * @param id id in announcements
 * @param failureDomain failure domain in announcements
 * @param listen address to serve on
 * @param model model, or name of the plain service
 * @param version version in announcements
 * @param coldLimit concurrent requests announced for the cold state
 * @param warmLimit concurrent requests announced for the warm state
 * @param warmUpMillis time from the start until the state is warm
 * @param tokenMillis time per generated token
 * @param errorPercent percentage of requests answered with status 500
 * @param routers routers to announce to; fails over to the next one when a router does not accept
 */
public record StandInOptions(
        String id,
        String failureDomain,
        Endpoint listen,
        String model,
        String version,
        int coldLimit,
        int warmLimit,
        long warmUpMillis,
        long tokenMillis,
        int errorPercent,
        List<Endpoint> routers) {
    /** Creates options from a copy of the list. */
    public StandInOptions {
        routers = ImmutableList.copyOf(routers);
    }
}
