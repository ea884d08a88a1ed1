package org.jacinthwharf.cli;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Shows the state of the fleet as the control group knows it. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Shows configuration, version moves, control members and routers.")
final class StatusCommand extends OperatorCommand {
    @Mixin private ControlOptions mOptions;

    @Option(names = "--json", description = "Print the answer as JSON.")
    private boolean mJson;

    @Override
    public Integer call() throws Exception {
        return send(
                mOptions,
                ControlClient.Call.get("/v1/status"),
                mJson ? JsonNode::toPrettyString : StatusText::status);
    }
}
