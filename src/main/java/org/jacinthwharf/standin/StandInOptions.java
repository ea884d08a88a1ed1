package org.jacinthwharf.standin;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.jacinthwharf.process.settings.Endpoint;

/**
 * What a stand-in backend server says it is and how it behaves.
 *
 * <p>Immutable.
 *
 * @param id id in announcements
 * @param failureDomain failure domain in announcements
 * @param listen where it serves
 * @param model model, or name of the plain service
 * @param version version in announcements
 * @param coldLimit limit while cold
 * @param warmLimit limit while warm
 * @param warmUpMillis time from the start to the state warm
 * @param tokenMillis time per generated token
 * @param errorPercent share of requests answered with status 500, in percent
 * @param routers routers to announce to; the next one is tried when one does not answer
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
    /** Creates options with a copy of the list. */
    public StandInOptions {
        routers = ImmutableList.copyOf(routers);
    }
}
