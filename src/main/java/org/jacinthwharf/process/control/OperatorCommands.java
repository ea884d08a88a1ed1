package org.jacinthwharf.process.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import java.util.List;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.wire.generated.Command;

/**
 * Reads commands from the requests of operators.
 *
 * <p>Stateless and thread-safe. It checks the form only; the state machine checks the content.
 */
final class OperatorCommands {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Splitter PATH = Splitter.on('/').omitEmptyStrings();

    private OperatorCommands() {}

    /** What a mutating request asks for. */
    sealed interface Parsed {
        /** The request is a command; its time is not set. */
        record Ok(Command command) implements Parsed {}

        /** The request is malformed. */
        record Malformed(String detail) implements Parsed {}

        /** No mutating request has this method and path. */
        record UnknownPath() implements Parsed {}
    }

    static Parsed parse(OperatorCall call) {
        List<String> path = PATH.splitToList(call.path());
        JsonNode body;
        try {
            body = JSON.readTree(call.body().isBlank() ? "{}" : call.body());
        } catch (JsonProcessingException e) {
            return new Parsed.Malformed("the body is no JSON: " + e.getOriginalMessage());
        }
        if (!body.isObject()) {
            return new Parsed.Malformed("the body is no JSON object");
        }
        Command.Builder command = Command.newBuilder();
        String missing = fill(command, call.method(), path, body);
        if (!missing.isEmpty()) {
            return new Parsed.Malformed(missing);
        }
        if (command.getChangeCase() == Command.ChangeCase.CHANGE_NOT_SET) {
            return new Parsed.UnknownPath();
        }
        return withHeaders(command, call);
    }

    private static Parsed withHeaders(Command.Builder command, OperatorCall call) {
        if (RequestId.parse(call.commandId()).isEmpty()) {
            return new Parsed.Malformed("header X-Command-Id is missing or malformed");
        }
        if (!call.basedOn().isEmpty()) {
            Long revision = Longs.tryParse(call.basedOn().replace("\"", ""));
            if (revision == null || revision < 0) {
                return new Parsed.Malformed("header If-Match holds no revision");
            }
            command.setBasedOnRevision(revision);
        }
        return new Parsed.Ok(command.setCommandId(call.commandId()).build());
    }

    // Returns what is missing, or an empty string.
    private static String fill(
            Command.Builder command, String method, List<String> path, JsonNode body) {
        boolean post = method.equals("POST");
        boolean delete = method.equals("DELETE");
        String kind = path.size() > 1 && path.get(0).equals("v1") ? path.get(1) : "";
        String id = path.size() == 3 ? path.get(2) : "";
        if (kind.equals("moves") && post && path.size() == 2) {
            return move(command, body);
        }
        if (id.isEmpty()) {
            return "";
        }
        return switch (kind) {
            case "customers" -> {
                if (delete) {
                    command.setRemoveCustomer(id);
                }
                yield post ? customer(command, id, body) : "";
            }
            case "failure-domains" -> post ? failureDomain(command, id, body) : "";
            case "models" -> {
                if (delete) {
                    command.setRemoveModel(id);
                }
                yield post ? model(command, id, body) : "";
            }
            default -> "";
        };
    }

    private static String customer(Command.Builder command, String id, JsonNode body) {
        if (!body.path("weight").isNumber()) {
            return "field weight must be a number";
        }
        command.getPutCustomerBuilder()
                .setId(id)
                .setWeight(body.get("weight").asDouble())
                .setHomeRegion(body.path("homeRegion").asText(""));
        return "";
    }

    private static String failureDomain(Command.Builder command, String id, JsonNode body) {
        if (!body.path("out").isBoolean()) {
            return "field out must be true or false";
        }
        command.getPutFailureDomainBuilder()
                .setId(id)
                .setRegion(body.path("region").asText(""))
                .setOut(body.get("out").asBoolean());
        return "";
    }

    private static String model(Command.Builder command, String id, JsonNode body) {
        if (!body.path("currentVersion").isTextual()) {
            return "field currentVersion must be a text";
        }
        command.getPutModelBuilder()
                .setId(id)
                .setCurrentVersion(body.get("currentVersion").asText());
        return "";
    }

    private static String move(Command.Builder command, JsonNode body) {
        if (!body.path("model").isTextual() || !body.path("toVersion").isTextual()) {
            return "fields model and toVersion must be texts";
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
