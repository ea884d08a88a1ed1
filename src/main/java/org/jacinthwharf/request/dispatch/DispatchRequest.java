package org.jacinthwharf.request.dispatch;

import org.jacinthwharf.id.CustomerId;

/**
 * The properties of a request on which its placement depends.
 *
 * <p>Immutable.
 *
 * @param id id that no other request of the gateway has, for version moves and logs
 * @param customer customer that is charged for the request
 * @param service service that runs the request
 * @param route name of the route
 * @param priority 0 is the most urgent
 * @param prompt empty for plain services
 * @param promptTokens length of the prompt, 0 for plain services
 * @param outputTokens maximum length of the answer, 0 for plain services
 * @param arrivalNanos when the request arrived
 * @param objectiveMillis objective for the time to the answer, or to its first event
 * @param deadlineNanos when the caller must have a final answer
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

    /** Returns the tokens that the request may hold in an engine besides its shared prefix. */
    long ownTokens() {
        return Math.max(0, (long) promptTokens + outputTokens - prompt.sharedPrefixTokens());
    }
}
