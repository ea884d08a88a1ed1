package org.jacinthwharf.process.control;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/**
 * The response to a request of an operator.
 *
 * <p>Immutable except for the body, which must not be modified after construction.
 *
 * @param status HTTP status
 * @param body JSON object
 * @param location URL to send the request to instead; set with status 307
 */
record OperatorResponse(int status, ObjectNode body, Optional<String> location) {
    static OperatorResponse of(int status, ObjectNode body) {
        return new OperatorResponse(status, body, Optional.empty());
    }

    /** Returns an error; {@code reason} is a code and {@code detail} a human-readable text. */
    static OperatorResponse error(int status, String reason, String detail) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        return of(status, body.put("reason", reason).put("detail", detail));
    }

    static OperatorResponse redirect(String location) {
        ObjectNode body = JsonNodeFactory.instance.objectNode().put("reason", "not_leader");
        return new OperatorResponse(307, body, Optional.of(location));
    }
}
