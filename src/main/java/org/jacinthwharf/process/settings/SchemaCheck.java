package org.jacinthwharf.process.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Validates a JSON document against one of the published schemas, with problems in plain words.
 *
 * <p>Immutable and thread-safe. Invariant: at most one problem is reported per location.
 */
public final class SchemaCheck {
    private static final int MAX_SHOWN_CHARS = 120;

    private final Schema mSchema;
    private final SchemaDescriber mDescriber;

    /** Creates a check against the resource {@code /schema/NAME.schema.json}. */
    public SchemaCheck(String name) {
        String resource = "/schema/" + name + ".schema.json";
        try (InputStream in = SchemaCheck.class.getResourceAsStream(resource)) {
            JsonNode root = new ObjectMapper().readTree(in);
            mSchema =
                    SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                            .getSchema(root);
            mDescriber = new SchemaDescriber(root);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the problems of the document in {@code file}; empty if there are none. */
    public ImmutableList<SettingsProblem> check(String file, JsonNode document) {
        Map<String, SettingsProblem> problems = new LinkedHashMap<>();
        for (Error e : mSchema.validate(document)) {
            SettingsProblem problem = toProblem(file, document, e);
            problems.putIfAbsent(problem.path(), problem);
        }
        return ImmutableList.copyOf(problems.values());
    }

    /** Returns a value as shown in problems: truncated if long, empty if missing. */
    static String shown(JsonNode node) {
        String text = node.isMissingNode() ? "" : node.toString();
        return text.length() <= MAX_SHOWN_CHARS ? text : text.substring(0, MAX_SHOWN_CHARS) + "...";
    }

    private SettingsProblem toProblem(String file, JsonNode document, Error error) {
        String keyword = error.getKeyword();
        String path = error.getInstanceLocation().toString();
        JsonNode schema = mDescriber.schemaAt(error.getEvaluationPath().toString(), keyword);
        return switch (keyword) {
            case "additionalProperties" -> {
                String key = path + "/" + error.getProperty();
                yield new SettingsProblem(
                        file,
                        key,
                        shown(document.at(key)),
                        "is an unknown key; known here: " + mDescriber.knownKeys(schema));
            }
            case "required" ->
                    new SettingsProblem(
                            file,
                            path + "/" + error.getProperty(),
                            "",
                            mDescriber.describeRequired(schema, error.getProperty()));
            default ->
                    new SettingsProblem(
                            file,
                            path,
                            shown(document.at(path)),
                            mDescriber.describeAllowed(schema));
        };
    }
}
