package org.jacinthwharf.process.control;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/**
 * The answer to an operator.
 *
 * <p>Immutable but for the body, which nobody changes after construction.
 *
 * @param status HTTP status
 * @param body JSON object
 * @param location where to send the request instead, with status 307
 */
record OperatorAnswer(int status, ObjectNode body, Optional<String> location) {
    static OperatorAnswer of(int status, ObjectNode body) {
        return new OperatorAnswer(status, body, Optional.empty());
    }

    /** Returns a refusal; {@code reason} is a code and {@code detail} a sentence for people. */
    static OperatorAnswer refusal(int status, String reason, String detail) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        return of(status, body.put("reason", reason).put("detail", detail));
    }

    static OperatorAnswer redirect(String location) {
        ObjectNode body = JsonNodeFactory.instance.objectNode().put("reason", "not_leader");
        return new OperatorAnswer(307, body, Optional.of(location));
    }
}
