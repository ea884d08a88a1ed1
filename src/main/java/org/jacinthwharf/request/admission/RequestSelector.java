package org.jacinthwharf.request.admission;

import java.util.List;
import org.jacinthwharf.id.BackendServerId;

/**
 * Selects which request of a customer uses a slot, for example by the prefixes that the server has
 * cached.
 *
 * <p>The customer is selected first, so a selector cannot skip a customer. Called on the event
 * loop, once per start with more than one candidate.
 */
@FunctionalInterface
public interface RequestSelector<R> {
    /** Maximum number of candidates. */
    int LOOK_AHEAD = 8;

    /**
     * Returns the index of the request to start.
     *
     * @param waiting the oldest requests of the customer in order of arrival, 2 to {@link
     *     #LOOK_AHEAD}
     */
    int select(BackendServerId server, List<QueuedRequest<R>> waiting, long nowNanos);

    /** Returns a selector of the oldest request. */
    static <R> RequestSelector<R> oldest() {
        return (server, waiting, nowNanos) -> 0;
    }
}
