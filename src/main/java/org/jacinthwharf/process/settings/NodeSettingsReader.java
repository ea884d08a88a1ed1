package org.jacinthwharf.process.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Reads the settings of a process that finds the fleet through seeds.
 *
 * <p>Stateless and thread-safe. Values are read one by one, since binding by reflection costs more
 * processor time than all the rest of a start. Keys that are not known are ignored.
 */
public final class NodeSettingsReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Reads a file, or returns what is wrong with it. */
    public SettingsResult<NodeSettings> read(Path file) {
        try {
            return read(file.toString(), Files.readAllBytes(file));
        } catch (IOException e) {
            return invalid(file.toString(), "", "cannot be read: " + e.getMessage());
        }
    }

    /** Reads the content of a file of the given name. */
    public SettingsResult<NodeSettings> read(String file, byte[] content) {
        String[] key = {""};
        try {
            JsonNode root = MAPPER.readTree(content);
            return new SettingsResult.Valid<>(parse(root, key));
        } catch (IOException | IllegalArgumentException e) {
            return invalid(file, key[0], String.valueOf(e.getMessage()));
        }
    }

    private static NodeSettings parse(JsonNode root, String[] key) {
        JsonNode listen = root.path("listen");
        JsonNode bounds = root.path("bounds");
        ImmutableList.Builder<Endpoint> seeds = ImmutableList.builder();
        for (JsonNode seed : need(root, "seeds", key)) {
            seeds.add(Endpoint.parse(seed.asText()));
        }
        ImmutableMap.Builder<String, String> regions = ImmutableMap.builder();
        root.path("regions")
                .fields()
                .forEachRemaining(e -> regions.put(e.getKey(), e.getValue().asText()));
        return new NodeSettings(
                need(root, "vmId", key).asText(),
                need(root, "failureDomain", key).asText(),
                need(root, "region", key).asText(),
                new NodeSettings.NodeListen(
                        endpoint(listen, "http", key),
                        endpoint(listen, "ready", key),
                        endpoint(listen, "metrics", key)),
                need(root, "peerPort", key).asInt(),
                seeds.build(),
                root.path("mayFound").asBoolean(false),
                root.path("dataFolder").asText(""),
                regions.buildOrThrow(),
                new NodeBounds(
                        number(bounds, "announceMillis", key),
                        number(bounds, "stopGraceMillis", key),
                        need(bounds, "retryRatio", key).asDouble(),
                        number(bounds, "retryWindowMillis", key),
                        need(bounds, "retrySlack", key).asDouble()));
    }

    private static long number(JsonNode node, String name, String[] key) {
        JsonNode value = need(node, name, key);
        if (!value.isNumber()) {
            throw new IllegalArgumentException("must be a number");
        }
        return value.asLong();
    }

    private static JsonNode need(JsonNode node, String name, String[] key) {
        key[0] = name;
        JsonNode value = node.get(name);
        if (value == null || value.isNull()) {
            throw new IllegalArgumentException("must be given");
        }
        return value;
    }

    private static Optional<Endpoint> endpoint(JsonNode node, String name, String[] key) {
        key[0] = "listen/" + name;
        String text = node.path(name).asText("");
        return text.isEmpty() ? Optional.empty() : Optional.of(Endpoint.parse(text));
    }

    private static SettingsResult<NodeSettings> invalid(String file, String key, String reason) {
        return new SettingsResult.Invalid<>(
                ImmutableList.of(new SettingsProblem(file, "/" + key, "", reason)));
    }
}
