package org.jacinthwharf.process.router;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Ascii;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.ModelId;
import org.jacinthwharf.id.VersionId;
import org.jacinthwharf.process.settings.Endpoint;
import org.jacinthwharf.wire.generated.ServerAnnouncement;
import org.jacinthwharf.wire.generated.ServerState;

/**
 * Parses the JSON announcement of a backend server.
 *
 * <p>Stateless and thread-safe.
 */
final class AnnouncementParser {
    /** Maximum number of slots of a server; exceeds what any engine runs concurrently. */
    static final int MAX_SLOTS = 100_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    /** The result of parsing an announcement. Immutable. */
    sealed interface Result {
        /** The announcement is valid. */
        record Parsed(ServerAnnouncement announcement) implements Result {}

        /** The announcement is refused; {@code detail} describes the error. */
        record Malformed(String detail) implements Result {}
    }

    /** Parses the body of {@code POST /v1/announce}. */
    Result parse(ByteString body) {
        JsonNode tree;
        try {
            tree = JSON.readTree(body.toByteArray());
        } catch (JacksonException e) {
            return new Result.Malformed("not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Optional<String> problem = findProblem(tree);
        return problem.isPresent()
                ? new Result.Malformed(problem.get())
                : new Result.Parsed(toMessage(tree));
    }

    private static Optional<String> findProblem(JsonNode tree) {
        if (BackendServerId.parse(tree.path("id").asText("")).isEmpty()) {
            return malformed(tree, "id");
        }
        if (ModelId.parse(tree.path("model").asText("")).isEmpty()) {
            return malformed(tree, "model");
        }
        if (VersionId.parse(tree.path("version").asText("")).isEmpty()) {
            return malformed(tree, "version");
        }
        if (!isEndpoint(tree.path("address").asText(""))) {
            return malformed(tree, "address");
        }
        if (parseState(tree) == ServerState.SERVER_STATE_UNSPECIFIED) {
            return malformed(tree, "state");
        }
        for (String name : new String[] {"coldLimit", "warmLimit", "running"}) {
            JsonNode value = tree.path(name);
            if (!value.isInt() || value.asInt() < 0 || value.asInt() > MAX_SLOTS) {
                return malformed(tree, name);
            }
        }
        for (String name : new String[] {"incarnation", "sequence"}) {
            JsonNode value = tree.path(name);
            if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0) {
                return malformed(tree, name);
            }
        }
        return Optional.empty();
    }

    private static boolean isEndpoint(String text) {
        try {
            Endpoint.parse(text);
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static Optional<String> malformed(JsonNode tree, String name) {
        return Optional.of("malformed " + name + ": " + tree.path(name));
    }

    private static ServerState parseState(JsonNode tree) {
        return switch (Ascii.toLowerCase(tree.path("state").asText(""))) {
            case "cold" -> ServerState.COLD;
            case "warm" -> ServerState.WARM;
            case "leaving" -> ServerState.LEAVING;
            default -> ServerState.SERVER_STATE_UNSPECIFIED;
        };
    }

    private static ServerAnnouncement toMessage(JsonNode tree) {
        return ServerAnnouncement.newBuilder()
                .setServer(tree.path("id").asText())
                .setIncarnation(tree.path("incarnation").asLong())
                .setSequence(tree.path("sequence").asLong())
                .setFailureDomain(tree.path("failureDomain").asText())
                .setAddress(tree.path("address").asText())
                .setModel(tree.path("model").asText())
                .setVersion(tree.path("version").asText())
                .setState(parseState(tree))
                .setColdLimit(tree.path("coldLimit").asInt())
                .setWarmLimit(tree.path("warmLimit").asInt())
                .setRunning(tree.path("running").asInt())
                .setChecksFencing(tree.path("checksFencing").asBoolean())
                .build();
    }
}
