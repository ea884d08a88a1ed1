package org.jacinthwharf.request.dispatch;

import org.jacinthwharf.id.CustomerId;

/**
 * What the choice of a backend server depends on.
 *
 * <p>Immutable.
 *
 * @param id request id, for version moves and logs
 * @param customer who pays for the request
 * @param service service that has to run it
 * @param route name of the route
 * @param priority 0 is the most urgent
 * @param prompt empty for plain services
 * @param promptTokens length of the prompt, 0 for plain services
 * @param outputTokens largest length of the answer, 0 for plain services
 * @param arrivalNanos when the request arrived
 * @param objectiveMillis time to the answer, or to its first event, at which it is on time
 * @param deadlineNanos when the caller gets a final answer at the latest
 */
public record DispatchRequest(
        String id,
        CustomerId customer,
        String service,
        String route,
        int priority,
        Prompt prompt,
        int promptTokens,
        int outputTokens,
        long arrivalNanos,
        long objectiveMillis,
        long deadlineNanos) {

    /** Returns the tokens that the request may hold in an engine beside the shared segments. */
    long ownTokens() {
        return Math.max(0, (long) promptTokens + outputTokens - prompt.sharedTokens());
    }
}
