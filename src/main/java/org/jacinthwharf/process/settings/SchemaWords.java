package org.jacinthwharf.process.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Streams;

/**
 * Says in plain words what a JSON schema allows at one place.
 *
 * <p>Immutable and thread-safe. Knows the keywords that the schemas of this project use.
 */
final class SchemaWords {
    private final JsonNode mRoot;

    SchemaWords(JsonNode root) {
        mRoot = root;
    }

    /**
     * Returns the schema of the value that failed.
     *
     * @param evaluationPath path from the root of the schema to the keyword that failed, which
     *     names each {@code $ref} that was followed
     * @param keyword the keyword that failed; what follows it in the path is left out
     */
    JsonNode schemaAt(String evaluationPath, String keyword) {
        int end = evaluationPath.lastIndexOf("/" + keyword);
        JsonNode at = mRoot;
        for (String step : evaluationPath.substring(1, Math.max(end, 0) + 1).split("/")) {
            if (!step.isEmpty() && !step.equals("$ref")) {
                at = resolved(at).path(step);
            }
        }
        return at;
    }

    /** Returns what {@code schema} allows, as the end of a sentence that starts with the value. */
    String allowed(JsonNode schema) {
        JsonNode type = resolved(schema);
        String allowed = "must be " + shape(type);
        String meaning = schema.path("description").asText(type.path("description").asText());
        return meaning.isEmpty() || allowed.endsWith(meaning)
                ? allowed
                : allowed + " (" + meaning + ")";
    }

    /** Returns what a missing key of an object with this schema should hold. */
    String required(JsonNode schema, String key) {
        return "is required; " + allowed(resolved(schema).path("properties").path(key));
    }

    /** Returns the keys that an object with this schema may have. */
    String knownKeys(JsonNode schema) {
        return Joiner.on(", ").join(resolved(schema).path("properties").fieldNames());
    }

    private String shape(JsonNode type) {
        if (type.has("const")) {
            return "'" + type.get("const").asText() + "'";
        }
        if (type.has("enum")) {
            return "one of " + Joiner.on(", ").join(texts(type.get("enum")));
        }
        return switch (type.path("type").asText()) {
            case "integer" -> "a whole number" + range(type);
            case "number" -> "a number" + range(type);
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

    private static String range(JsonNode type) {
        if (type.has("exclusiveMinimum")) {
            return " above " + type.get("exclusiveMinimum") + upTo(type);
        }
        return type.has("minimum") ? " from " + type.get("minimum") + upTo(type) : upTo(type);
    }

    private static String upTo(JsonNode type) {
        return type.has("maximum") ? " to " + type.get("maximum") : "";
    }

    private static ImmutableList<String> texts(JsonNode list) {
        return Streams.stream(list).map(JsonNode::asText).collect(ImmutableList.toImmutableList());
    }

    // All references are to definitions in the same file.
    private JsonNode resolved(JsonNode schema) {
        return schema.has("$ref") ? mRoot.at(schema.get("$ref").asText().substring(1)) : schema;
    }
}
