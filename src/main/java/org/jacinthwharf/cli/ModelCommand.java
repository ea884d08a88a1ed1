package org.jacinthwharf.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Creates and changes models. */
@Command(
        name = "model",
        mixinStandardHelpOptions = true,
        description = "Creates and changes models.",
        subcommands = ModelCommand.Put.class)
final class ModelCommand {
    /** Creates a model or sets its current version. */
    @Command(
            name = "put",
            // No standard options: --version sets the version of the model here.
            description = "Creates a model or sets its current version at once.")
    static final class Put extends OperatorCommand.Mutating {
        @Parameters(paramLabel = "ID")
        private String mId;

        @Option(names = "--version", required = true, paramLabel = "VERSION")
        private String mVersion;

        @Override
        public Integer call() throws Exception {
            return change(
                    "POST",
                    "/v1/models/" + mId,
                    JSON.createObjectNode().put("currentVersion", mVersion));
        }
    }
}
