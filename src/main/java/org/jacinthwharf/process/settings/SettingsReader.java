package org.jacinthwharf.process.settings;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads and checks settings files against the published schemas.
 *
 * <p>Immutable and thread-safe. The schemas are the resources {@code /schema/router.schema.json}
 * and {@code /schema/control.schema.json}; keys that they do not define are problems.
 */
public final class SettingsReader {
    private final ObjectMapper mMapper = new ObjectMapper();
    private final SchemaCheck mRouterSchema = new SchemaCheck("router");
    private final SchemaCheck mControlSchema = new SchemaCheck("control");
    private final SettingsRules mRules = new SettingsRules();

    /** Reads the settings of a router. */
    public SettingsResult<RouterSettings> readRouter(Path file) {
        SettingsResult<RouterSettings> result = read(file, "router", RouterSettings.class);
        if (result instanceof SettingsResult.Valid<RouterSettings> v) {
            return validated(v, mRules.check(file.toString(), v.settings()));
        }
        return result;
    }

    /** Reads the settings of a control member. */
    public SettingsResult<ControlSettings> readControl(Path file) {
        SettingsResult<ControlSettings> result = read(file, "control", ControlSettings.class);
        if (result instanceof SettingsResult.Valid<ControlSettings> v) {
            return validated(v, mRules.check(file.toString(), v.settings()));
        }
        return result;
    }

    /** Returns the role in a settings file, or a problem if it has none. */
    public SettingsResult<String> readRole(Path file) {
        try {
            JsonNode role = mMapper.readTree(Files.readAllBytes(file)).path("role");
            String text = role.asText("");
            if (text.equals("router") || text.equals("control")) {
                return new SettingsResult.Valid<>(text);
            }
            return problem(file, "/role", SchemaCheck.shown(role), "must be 'router' or 'control'");
        } catch (IOException e) {
            return unreadable(file, e);
        }
    }

    private static <T> SettingsResult<T> validated(
            SettingsResult<T> valid, ImmutableList<SettingsProblem> problems) {
        return problems.isEmpty() ? valid : new SettingsResult.Invalid<>(problems);
    }

    private <T> SettingsResult<T> read(Path file, String role, Class<T> type) {
        JsonNode tree;
        try {
            tree = mMapper.readTree(Files.readAllBytes(file));
        } catch (IOException e) {
            return unreadable(file, e);
        }
        SchemaCheck schema = role.equals("router") ? mRouterSchema : mControlSchema;
        ImmutableList<SettingsProblem> problems = schema.check(file.toString(), tree);
        if (!problems.isEmpty()) {
            return new SettingsResult.Invalid<>(problems);
        }
        ObjectNode settings = (ObjectNode) tree;
        settings.remove("role");
        if (role.equals("router")) {
            applyDefaultLimits(settings);
        }
        return bind(file, settings, type);
    }

    private <T> SettingsResult<T> bind(Path file, ObjectNode settings, Class<T> type) {
        try {
            return new SettingsResult.Valid<>(mMapper.treeToValue(settings, type));
        } catch (JacksonException e) {
            String path = pointer(e);
            JsonNode value = settings.at(path);
            return problem(file, path, SchemaCheck.shown(value), reason(e));
        }
    }

    private static String pointer(JacksonException failure) {
        StringBuilder path = new StringBuilder();
        if (failure instanceof JsonMappingException m) {
            for (JsonMappingException.Reference r : m.getPath()) {
                path.append('/').append(r.getFieldName() == null ? r.getIndex() : r.getFieldName());
            }
        }
        return path.toString();
    }

    private static String reason(JacksonException failure) {
        Throwable cause = failure.getCause();
        return cause instanceof IllegalArgumentException
                ? cause.getMessage()
                : failure.getOriginalMessage();
    }

    private void applyDefaultLimits(ObjectNode settings) {
        ObjectNode limits = mMapper.valueToTree(Limits.defaults());
        if (settings.get("limits") instanceof ObjectNode given) {
            limits.setAll(given);
        }
        settings.set("limits", limits);
    }

    private static <T> SettingsResult<T> unreadable(Path file, IOException e) {
        String reason =
                e instanceof JacksonException j ? "not JSON: " + j.getOriginalMessage() : "" + e;
        return problem(file, "", "", reason);
    }

    private static <T> SettingsResult<T> problem(
            Path file, String path, String value, String expected) {
        return new SettingsResult.Invalid<>(
                ImmutableList.of(new SettingsProblem(file.toString(), path, value, expected)));
    }
}
