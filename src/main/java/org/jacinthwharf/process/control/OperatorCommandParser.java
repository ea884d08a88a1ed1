package org.jacinthwharf.process.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import java.util.List;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.LogText;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.id.VersionId;
import org.jacinthwharf.wire.generated.Command;

/**
 * Parses the requests of operators into commands.
 *
 * <p>Stateless and thread-safe. It checks only the syntax; the state machine validates the content.
 */
final class OperatorCommandParser {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Splitter PATH_SPLITTER = Splitter.on('/').omitEmptyStrings();

    private OperatorCommandParser() {}

    /** The result of parsing a mutating request. */
    sealed interface Result {
        /** The request is a valid command, whose time is not set yet. */
        record Ok(Command command) implements Result {}

        /** The request is malformed. */
        record Malformed(String detail) implements Result {}

        /** No mutating request has this method and path. */
        record UnknownPath() implements Result {}
    }

    static Result parse(OperatorRequest request) {
        List<String> path = PATH_SPLITTER.splitToList(request.path());
        JsonNode body;
        try {
            body = JSON.readTree(request.body().isBlank() ? "{}" : request.body());
        } catch (JsonProcessingException e) {
            return new Result.Malformed("the body is no JSON: " + e.getOriginalMessage());
        }
        if (!body.isObject()) {
            return new Result.Malformed("the body is no JSON object");
        }
        Command.Builder command = Command.newBuilder();
        String problem = parseChange(command, request.method(), path, body);
        if (!problem.isEmpty()) {
            return new Result.Malformed(problem);
        }
        if (command.getChangeCase() == Command.ChangeCase.CHANGE_NOT_SET) {
            return new Result.UnknownPath();
        }
        return parseHeaders(command, request);
    }

    private static Result parseHeaders(Command.Builder command, OperatorRequest request) {
        if (RequestId.parse(request.commandId()).isEmpty()) {
            return new Result.Malformed("header X-Command-Id is missing or malformed");
        }
        if (!request.ifMatch().isEmpty()) {
            Long revision = Longs.tryParse(request.ifMatch().replace("\"", ""));
            if (revision == null || revision < 0) {
                return new Result.Malformed("header If-Match holds no revision");
            }
            command.setBasedOnRevision(revision);
        }
        return new Result.Ok(command.setCommandId(request.commandId()).build());
    }

    // Returns the problem of an invalid body, or an empty string. Leaves the change unset if there
    // is no such method and path.
    private static String parseChange(
            Command.Builder command, String method, List<String> path, JsonNode body) {
        boolean post = method.equals("POST");
        boolean delete = method.equals("DELETE");
        String collection = path.size() > 1 && path.get(0).equals("v1") ? path.get(1) : "";
        String id = path.size() == 3 ? path.get(2) : "";
        if (collection.equals("moves") && post && path.size() == 2) {
            return parseMove(command, body);
        }
        if (id.isEmpty()) {
            return "";
        }
        return switch (collection) {
            case "customers" -> {
                if (delete) {
                    command.setRemoveCustomer(id);
                }
                yield post ? parseCustomer(command, id, body) : "";
            }
            case "failure-domains" -> post ? parseFailureDomain(command, id, body) : "";
            case "models" -> {
                if (delete) {
                    command.setRemoveModel(id);
                }
                yield post ? parseModel(command, id, body) : "";
            }
            default -> "";
        };
    }

    private static String parseCustomer(Command.Builder command, String id, JsonNode body) {
        if (!body.path("weight").isNumber()) {
            return "field weight must be a number";
        }
        command.getPutCustomerBuilder()
                .setId(id)
                .setWeight(body.get("weight").asDouble())
                .setHomeRegion(body.path("homeRegion").asText(""));
        return "";
    }

    private static String parseFailureDomain(Command.Builder command, String id, JsonNode body) {
        if (!body.path("out").isBoolean()) {
            return "field out must be true or false";
        }
        if (FailureDomainId.parse(id).isEmpty()) {
            return "malformed failure domain id " + LogText.of(id);
        }
        command.getPutFailureDomainBuilder()
                .setId(id)
                .setRegion(body.path("region").asText(""))
                .setOut(body.get("out").asBoolean());
        return "";
    }

    private static String parseModel(Command.Builder command, String id, JsonNode body) {
        if (!body.path("currentVersion").isTextual()) {
            return "field currentVersion must be a text";
        }
        command.getPutModelBuilder()
                .setId(id)
                .setCurrentVersion(body.get("currentVersion").asText());
        return "";
    }

    private static String parseMove(Command.Builder command, JsonNode body) {
        if (!body.path("model").isTextual() || !body.path("toVersion").isTextual()) {
            return "fields model and toVersion must be texts";
        }
        if (VersionId.parse(body.get("toVersion").asText()).isEmpty()) {
            return "malformed version " + LogText.of(body.get("toVersion").asText());
        }
        if (!body.path("deadlineMillis").canConvertToLong()
                || body.get("deadlineMillis").asLong() <= 0) {
            return "field deadlineMillis must be a time in milliseconds since the epoch";
        }
        command.getStartMoveBuilder()
                .setModel(body.get("model").asText())
                .setToVersion(body.get("toVersion").asText())
                .setDeadlineMillis(body.get("deadlineMillis").asLong());
        return "";
    }
}
