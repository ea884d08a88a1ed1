package org.jacinthwharf.process.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.jacinthwharf.process.duty.Duty;

/**
 * Reads the settings of a process that discovers the fleet through seeds.
 *
 * <p>Stateless and thread-safe. Reads values one by one, since Jackson's binding by reflection
 * costs more CPU time than the rest of the startup. Unknown keys are ignored.
 */
public final class NodeSettingsReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double MAX_MILLIS = 86_400_000;
    private static final ImmutableMap<String, Duty> DUTY_NAMES =
            ImmutableMap.of("usage_report", Duty.USAGE_REPORT, "autoscale", Duty.SERVER_SCALING);

    /** Reads a file and returns the settings or the problem found in it. */
    public SettingsResult<NodeSettings> read(Path file) {
        try {
            return read(file.toString(), Files.readAllBytes(file));
        } catch (IOException e) {
            return invalid(file.toString(), "", "cannot be read: " + e.getMessage());
        }
    }

    /** Parses the content of a file; {@code file} is its name in problems. */
    public SettingsResult<NodeSettings> read(String file, byte[] content) {
        // The key being read, named in the problem if parsing fails.
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
        for (JsonNode seed : require(root, "seeds", key)) {
            seeds.add(Endpoint.parse(seed.asText()));
        }
        ImmutableMap.Builder<String, String> regions = ImmutableMap.builder();
        root.path("regions")
                .fields()
                .forEachRemaining(e -> regions.put(e.getKey(), e.getValue().asText()));
        return new NodeSettings(
                require(root, "vmId", key).asText(),
                require(root, "failureDomain", key).asText(),
                require(root, "region", key).asText(),
                new NodeSettings.NodeListen(
                        endpoint(listen, "http", key),
                        endpoint(listen, "ready", key),
                        endpoint(listen, "metrics", key)),
                require(root, "peerPort", key).asInt(),
                seeds.build(),
                root.path("mayFound").asBoolean(false),
                root.path("dataFolder").asText(""),
                regions.buildOrThrow(),
                new NodeBounds(
                        requireMillis(bounds, "announce", key),
                        requireMillis(bounds, "stopGrace", key),
                        require(bounds, "retryRatio", key).asDouble(),
                        requireMillis(bounds, "retryWindow", key),
                        require(bounds, "retrySlack", key).asDouble()),
                maxDescriptors(root, key),
                duties(root.path("duties"), key));
    }

    private static Optional<DutySettings> duties(JsonNode node, String[] key) {
        if (node.isMissingNode() || node.isNull()) {
            return Optional.empty();
        }
        ImmutableSet.Builder<Duty> duties = ImmutableSet.builder();
        for (JsonNode name : require(node, "names", key)) {
            // Names of duties that this release does not know are left to a later one.
            Optional.ofNullable(DUTY_NAMES.get(name.asText())).ifPresent(duties::add);
        }
        return Optional.of(
                new DutySettings(
                        require(node, "holder", key).asText(),
                        Endpoint.parse(require(node, "address", key).asText()),
                        duties.build(),
                        node.path("callsPerSecond").asDouble(DutySettings.DEFAULT_CALLS_PER_SECOND),
                        millis(node, "lease", DutySettings.DEFAULT_LEASE_MILLIS, key),
                        millis(node, "usageWindow", DutySettings.DEFAULT_WINDOW_MILLIS, key),
                        millis(node, "usageDelay", DutySettings.DEFAULT_DELAY_MILLIS, key)));
    }

    private static long millis(JsonNode node, String name, long defaultMillis, String[] key) {
        boolean given = node.hasNonNull(name + "Seconds") || node.hasNonNull(name + "Millis");
        return given ? requireMillis(node, name, key) : defaultMillis;
    }

    private static int maxDescriptors(JsonNode root, String[] key) {
        key[0] = "maxDescriptors";
        JsonNode value = root.path(key[0]);
        if (value.isMissingNode()) {
            return NodeSettings.DEFAULT_MAX_DESCRIPTORS;
        }
        if (!value.canConvertToInt() || value.asInt() < NodeSettings.LEAST_MAX_DESCRIPTORS) {
            throw new IllegalArgumentException(
                    "must be a number from "
                            + NodeSettings.LEAST_MAX_DESCRIPTORS
                            + ", not "
                            + value);
        }
        return value.asInt();
    }

    /**
     * Reads a time that is given as {@code nameSeconds} or {@code nameMillis}, with or without a
     * fraction.
     */
    private static long requireMillis(JsonNode node, String name, String[] key) {
        boolean seconds = node.hasNonNull(name + "Seconds");
        if (seconds && node.hasNonNull(name + "Millis")) {
            key[0] = name + "Seconds";
            throw new IllegalArgumentException(
                    "must not be given together with " + name + "Millis");
        }
        JsonNode value = require(node, name + (seconds ? "Seconds" : "Millis"), key);
        double millis = value.asDouble() * (seconds ? MILLIS_PER_SECOND : 1);
        if (!value.isNumber() || !(millis >= 1) || millis > MAX_MILLIS) {
            throw new IllegalArgumentException("must be a time from 1 ms to a day, not " + value);
        }
        return Math.round(millis);
    }

    private static JsonNode require(JsonNode node, String name, String[] key) {
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
