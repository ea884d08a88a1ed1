package org.jacinthwharf.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Starts version moves and shows them. */
@Command(
        name = "move",
        mixinStandardHelpOptions = true,
        description = "Starts version moves and shows them.",
        subcommands = {MoveCommand.Start.class, MoveCommand.Status.class})
final class MoveCommand {
    /** Starts a version move. */
    @Command(
            name = "start",
            mixinStandardHelpOptions = true,
            description = "Moves a model to another version until a deadline.")
    static final class Start extends OperatorCommand.Mutating {
        @Parameters(paramLabel = "MODEL")
        private String mModel;

        @Option(names = "--to", required = true, paramLabel = "VERSION")
        private String mTo;

        @Option(
                names = "--deadline",
                required = true,
                paramLabel = "TIME",
                description = "For example 2030-01-31T18:00:00Z.")
        private Instant mDeadline;

        @Override
        public Integer call() throws Exception {
            return change(
                    "POST",
                    "/v1/moves",
                    JSON.createObjectNode()
                            .put("model", mModel)
                            .put("toVersion", mTo)
                            .put("deadlineMillis", mDeadline.toEpochMilli()));
        }
    }

    /** Shows version moves. */
    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Shows the last version move of each model, or one move.")
    static final class Status extends OperatorCommand {
        @Mixin private ControlOptions mOptions;

        @Parameters(paramLabel = "MOVE-ID", arity = "0..1", defaultValue = "")
        private String mId;

        @Override
        public Integer call() throws Exception {
            String path = mId.isEmpty() ? "/v1/moves" : "/v1/moves/" + mId;
            return send(mOptions, ControlClient.Call.get(path), Status::render);
        }

        private static String render(JsonNode answer) {
            return answer.has("moves")
                    ? StatusText.moves(answer.get("moves"))
                    : StatusText.move(answer);
        }
    }
}
