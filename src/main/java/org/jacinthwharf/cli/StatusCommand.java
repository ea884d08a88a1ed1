package org.jacinthwharf.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.jacinthwharf.process.settings.Endpoint;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Shows the state of the fleet as recorded by the control group, and the status of single routers.
 *
 * <p>Not thread-safe. With {@code --json}, each report is a separate JSON document.
 */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Shows configuration, version moves, control members and routers.")
final class StatusCommand extends OperatorCommand {
    @Mixin private ControlOptions mOptions;

    @Option(names = "--json", description = "Print the answer as JSON.")
    private boolean mJson;

    @Option(
            names = "--admin",
            paramLabel = "IP:PORT",
            converter = ControlOptions.EndpointConverter.class,
            description = "Also shows what the router with this admin address reports; repeatable.")
    private List<Endpoint> mAdmin = List.of();

    @Override
    public Integer call() throws Exception {
        int exitCode =
                send(
                        mOptions,
                        ControlClient.Call.get("/v1/status"),
                        mJson ? JsonNode::toPrettyString : StatusText::status);
        for (Endpoint admin : mAdmin) {
            int routerCode = showRouter(admin);
            exitCode = exitCode == 0 ? routerCode : exitCode;
        }
        return exitCode;
    }

    private int showRouter(Endpoint admin) throws Exception {
        try (ControlClient client = new ControlClient(List.of(admin))) {
            ControlClient.Result result = client.send(ControlClient.Call.get("/status"));
            if (!result.ok()) {
                err().println("router at " + admin + ": " + result.body().strip());
                return EXIT_NO_ANSWER;
            }
            JsonNode status = JSON.readTree(result.body());
            out().println(mJson ? status.toPrettyString() : StatusText.router(admin, status));
            return 0;
        }
    }
}
