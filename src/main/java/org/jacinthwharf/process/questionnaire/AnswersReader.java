package org.jacinthwharf.process.questionnaire;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.jacinthwharf.process.settings.Limits;
import org.jacinthwharf.process.settings.SchemaCheck;
import org.jacinthwharf.process.settings.SettingsProblem;
import org.jacinthwharf.process.settings.SettingsResult;

/**
 * Parses and validates answers from a file or from the terminal.
 *
 * <p>Immutable and thread-safe. The schema is the resource {@code /schema/answers.schema.json};
 * keys that it does not define are reported as problems.
 */
public final class AnswersReader {
    private final ObjectMapper mMapper = new ObjectMapper();
    private final SchemaCheck mSchema = new SchemaCheck("answers");
    private final AnswersRules mRules;

    /**
     * Creates a reader.
     *
     * @param vmsShareIps whether several VMs may have the same IP, as in a trial fleet in which the
     *     VMs differ in their ports
     */
    public AnswersReader(boolean vmsShareIps) {
        mRules = new AnswersRules(vmsShareIps);
    }

    /** Reads and validates an answers file. */
    public SettingsResult<Answers> read(Path file) {
        try {
            return parse(file.toString(), mMapper.readTree(Files.readAllBytes(file)));
        } catch (JacksonException e) {
            return invalid(file.toString(), "not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            return invalid(file.toString(), "cannot be read: " + e);
        }
    }

    /**
     * Validates answers, fills in the defaults and returns the parsed answers.
     *
     * @param source name of the source in reported problems
     */
    public SettingsResult<Answers> parse(String source, JsonNode tree) {
        ImmutableList<SettingsProblem> problems = mSchema.check(source, tree);
        if (!problems.isEmpty()) {
            return new SettingsResult.Invalid<>(problems);
        }
        Answers answers;
        try {
            answers = mMapper.treeToValue(withDefaults((ObjectNode) tree), Answers.class);
        } catch (JacksonException e) {
            throw new IllegalStateException(
                    "answers that match the schema cannot be converted to Answers", e);
        }
        problems = mRules.check(source, answers);
        return problems.isEmpty()
                ? new SettingsResult.Valid<>(answers)
                : new SettingsResult.Invalid<>(problems);
    }

    private ObjectNode withDefaults(ObjectNode given) {
        ObjectNode all =
                mMapper.createObjectNode()
                        .put("dataFolder", Answers.DEFAULT_DATA_FOLDER)
                        .put("operatorTokenFile", Answers.DEFAULT_TOKEN_FILE)
                        .put("drainDelayMs", Limits.defaults().drainDelayMs());
        all.setAll(given);
        ObjectNode ports = mMapper.valueToTree(Ports.defaults());
        if (given.get("ports") instanceof ObjectNode givenPorts) {
            ports.setAll(givenPorts);
        }
        all.set("ports", ports);
        return all;
    }

    private static SettingsResult<Answers> invalid(String source, String message) {
        return new SettingsResult.Invalid<>(
                ImmutableList.of(new SettingsProblem(source, "", "", message)));
    }
}
