package org.jacinthwharf.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.function.Function;
import org.jacinthwharf.cli.ControlClient.Call;
import org.jacinthwharf.cli.ControlClient.Result;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * Base class of the operator commands: sends one call, prints its result and sets the exit code.
 *
 * <p>Not thread-safe. Invariant: the exit code is 0 only when the control group accepted the call.
 */
abstract class OperatorCommand implements Callable<Integer> {
    static final ObjectMapper JSON = new ObjectMapper();

    private static final int EXIT_REFUSED = 1;
    static final int EXIT_NO_ANSWER = 3;

    @Spec private CommandSpec mSpec;

    PrintWriter out() {
        return mSpec.commandLine().getOut();
    }

    PrintWriter err() {
        return mSpec.commandLine().getErr();
    }

    /**
     * Sends the call, prints the response as rendered by {@code renderer}, returns the exit code.
     */
    int send(ControlOptions options, Call call, Function<JsonNode, String> renderer)
            throws Exception {
        try (ControlClient client = new ControlClient(options.control())) {
            Result result = client.send(call);
            if (result.ok()) {
                out().println(renderer.apply(JSON.readTree(result.body())).stripTrailing());
                return 0;
            }
            PrintWriter err = err();
            if (result.status() == 0) {
                err.println("no control member accepted the call:\n" + result.body().strip());
                if (!call.commandId().isEmpty()) {
                    err.println("to try again: --command-id " + call.commandId());
                }
                return EXIT_NO_ANSWER;
            }
            err.println(refusal(result));
            return EXIT_REFUSED;
        }
    }

    private static String refusal(Result result) {
        try {
            JsonNode body = JSON.readTree(result.body());
            String revision = body.has("revision") ? ", revision " + body.get("revision") : "";
            return "refused: %s: %s (status %d%s)"
                    .formatted(
                            body.path("reason").asText(),
                            body.path("detail").asText(),
                            result.status(),
                            revision);
        } catch (JsonProcessingException e) {
            return "refused with status " + result.status() + ": " + result.body();
        }
    }

    /** Base class of the commands that change the configuration. */
    abstract static class Mutating extends OperatorCommand {
        @Mixin private ControlOptions.Mutating mOptions;

        /** Sends the change and prints the revision that it produced. */
        int change(String method, String path, ObjectNode body) throws Exception {
            String token;
            try {
                token = Files.readString(mOptions.tokenFile()).trim();
            } catch (IOException e) {
                err().println("cannot read the token file: " + e);
                return EXIT_REFUSED;
            }
            String id = mOptions.commandId();
            Call call =
                    new Call(
                            method,
                            path,
                            token,
                            id.isEmpty() ? UUID.randomUUID().toString() : id,
                            mOptions.baseRevision(),
                            body.isEmpty() ? "" : body.toString());
            return send(
                    mOptions,
                    call,
                    answer ->
                            "applied, revision %s, command %s"
                                    .formatted(answer.path("revision").asText(), call.commandId()));
        }
    }
}
