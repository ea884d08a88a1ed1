package org.jacinthwharf.process.router;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.OptionalDouble;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.ModelId;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.id.RequestKey;
import org.jacinthwharf.request.outcome.StreamEventId;

/**
 * A valid request of a caller, including its body.
 *
 * <p>Immutable.
 *
 * @param id id that the router assigned, to this request only
 * @param callerId id that the caller supplied, else {@code id}; returned with the answer
 * @param customer customer that the request is charged to
 * @param model model or plain service that serves the request
 * @param route kind of request within the model; version evidence and costs are recorded per route
 * @param method HTTP method
 * @param path path and query, forwarded unchanged
 * @param contentType content type of the body, or empty
 * @param body complete body
 * @param idempotent whether the request may run more than once
 * @param key request key, which prevents a non-idempotent call from running twice
 * @param stream whether the caller requested server-sent events
 * @param costHint the caller's estimate of the cost in cost units
 * @param deadlineMillis deadline in milliseconds after arrival
 * @param lastEvent last event that the caller received of an interrupted stream
 */
record CallerRequest(
        RequestId id,
        String callerId,
        CustomerId customer,
        ModelId model,
        String route,
        String method,
        String path,
        String contentType,
        ByteString body,
        boolean idempotent,
        Optional<RequestKey> key,
        boolean stream,
        OptionalDouble costHint,
        long deadlineMillis,
        Optional<StreamEventId> lastEvent) {
    /** Returns the id that the caller knows the stream by; a resumed one keeps its first id. */
    RequestId streamId() {
        return lastEvent.map(StreamEventId::request).orElse(id);
    }

    /** Returns the key under which costs and times to first byte are recorded. */
    String routeKey() {
        return model + "/" + route;
    }
}
