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
 * A well-formed request of a caller, with its body.
 *
 * <p>Immutable.
 *
 * @param id made by the router, unique; the first router's if this resumes a stream
 * @param callerId id that the caller gave and that its answer carries; else {@code id}
 * @param customer who the request is charged to
 * @param model model or plain service that shall run it
 * @param route kind of request within the model; evidence on versions and costs is kept per route
 * @param method HTTP method
 * @param path path and query, passed on unchanged
 * @param contentType content type of the body, or empty
 * @param body the whole body
 * @param idempotent whether the request may run more than once
 * @param key names a non-idempotent call
 * @param stream whether the caller wants server-sent events
 * @param costHint the caller's estimate of the cost in cost units
 * @param deadlineMillis time that the caller gives, in milliseconds from arrival
 * @param lastEvent last event that the caller has of an interrupted stream
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
    /** Returns the name under which costs and times of the model's route are kept. */
    String routeKey() {
        return model + "/" + route;
    }
}
