package org.jacinthwharf.process.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Streams;

/**
 * Describes in plain words which values a JSON schema allows at one location.
 *
 * <p>Immutable and thread-safe. Supports only the keywords that the schemas of this project use.
 */
final class SchemaDescriber {
    private final JsonNode mRoot;

    SchemaDescriber(JsonNode root) {
        mRoot = root;
    }

    /**
     * Returns the schema of the value that failed validation.
     *
     * @param evaluationPath path from the root of the schema to the keyword that failed, including
     *     each {@code $ref} that was followed
     * @param keyword the keyword that failed; the path is used up to this keyword
     */
    JsonNode schemaAt(String evaluationPath, String keyword) {
        int end = evaluationPath.lastIndexOf("/" + keyword);
        JsonNode schema = mRoot;
        for (String step : evaluationPath.substring(1, Math.max(end, 0) + 1).split("/")) {
            if (!step.isEmpty() && !step.equals("$ref")) {
                schema = resolve(schema).path(step);
            }
        }
        return schema;
    }

    /** Returns a description of the allowed values, to follow the value in a message. */
    String describeAllowed(JsonNode schema) {
        JsonNode type = resolve(schema);
        String allowed = "must be " + describeType(type);
        String meaning = schema.path("description").asText(type.path("description").asText());
        return meaning.isEmpty() || allowed.endsWith(meaning)
                ? allowed
                : allowed + " (" + meaning + ")";
    }

    /** Returns a description of the value that a missing key of an object requires. */
    String describeRequired(JsonNode schema, String key) {
        return "is required; " + describeAllowed(resolve(schema).path("properties").path(key));
    }

    /** Returns the names of the keys that an object with this schema may have. */
    String knownKeys(JsonNode schema) {
        return Joiner.on(", ").join(resolve(schema).path("properties").fieldNames());
    }

    private String describeType(JsonNode type) {
        if (type.has("const")) {
            return "'" + type.get("const").asText() + "'";
        }
        if (type.has("enum")) {
            return "one of " + Joiner.on(", ").join(texts(type.get("enum")));
        }
        return switch (type.path("type").asText()) {
            case "integer" -> "a whole number" + describeRange(type);
            case "number" -> "a number" + describeRange(type);
            case "boolean" -> "true or false";
            case "array" ->
                    type.has("minItems")
                            ? "a list with " + type.get("minItems") + " or more entries"
                            : "a list";
            case "object" -> "an object with the keys " + knownKeys(type);
            default ->
                    type.has("pattern")
                            ? type.path("description").asText()
                            : "a text that is not empty";
        };
    }

    private static String describeRange(JsonNode type) {
        if (type.has("exclusiveMinimum")) {
            return " above " + type.get("exclusiveMinimum") + describeMaximum(type);
        }
        return type.has("minimum")
                ? " from " + type.get("minimum") + describeMaximum(type)
                : describeMaximum(type);
    }

    private static String describeMaximum(JsonNode type) {
        return type.has("maximum") ? " to " + type.get("maximum") : "";
    }

    private static ImmutableList<String> texts(JsonNode list) {
        return Streams.stream(list).map(JsonNode::asText).collect(ImmutableList.toImmutableList());
    }

    // All references are to definitions in the same file.
    private JsonNode resolve(JsonNode schema) {
        return schema.has("$ref") ? mRoot.at(schema.get("$ref").asText().substring(1)) : schema;
    }
}
