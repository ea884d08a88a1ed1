package org.jacinthwharf.request.admission;

import java.util.List;
import org.jacinthwharf.id.BackendServerId;

/**
 * Chooses which request of a customer uses a slot, for example by the prompt prefixes that the
 * server has cached.
 *
 * <p>The customer was chosen before, so a choice cannot pass over a customer. Called on the event
 * loop, once per start with more than one request to choose from.
 */
@FunctionalInterface
public interface RequestChoice<R> {
    /** Largest number of requests to choose from. */
    int LOOK_AHEAD = 8;

    /**
     * Returns the index of the request to start.
     *
     * @param waiting the oldest requests of the customer in the order of arrival, 2 to {@link
     *     #LOOK_AHEAD}
     */
    int choose(BackendServerId server, List<QueuedRequest<R>> waiting, long nowNanos);

    /** Returns the choice of the oldest request. */
    static <R> RequestChoice<R> oldest() {
        return (server, waiting, nowNanos) -> 0;
    }
}
