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
    /** Maximum number of candidates, and of times that the oldest request may be skipped. */
    int MAX_CANDIDATES = 8;

    /**
     * Returns the index of the request to start.
     *
     * @param candidates the oldest requests of the customer in order of arrival, 2 to {@link
     *     #MAX_CANDIDATES}
     */
    int select(BackendServerId server, List<QueuedRequest<R>> candidates, long nowNanos);

    /** Returns a selector of the oldest request. */
    static <R> RequestSelector<R> oldest() {
        return (server, candidates, nowNanos) -> 0;
    }
}
