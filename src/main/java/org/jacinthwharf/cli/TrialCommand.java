package org.jacinthwharf.cli;

import java.util.List;
import java.util.concurrent.Callable;
import org.eclipse.jetty.client.HttpClient;
import org.jacinthwharf.process.settings.Endpoint;
import org.jacinthwharf.trial.Trial;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs the checks of a trial against a running fleet with stand-in backend servers. */
@Command(
        name = "trial",
        description = "Sends requests of every kind through a trial fleet and checks the answers.")
final class TrialCommand implements Callable<Integer> {
    @Spec private CommandSpec mSpec;

    @Option(names = "--router", required = true, description = "ip:port of a router; repeatable.")
    private List<String> mRouters;

    @Option(names = "--stand-in", required = true, description = "ip:port; repeatable.")
    private List<String> mStandIns;

    @Option(names = "--customer", required = true, description = "Customer id; repeatable.")
    private List<String> mCustomers;

    @Option(names = "--model", required = true, description = "Model of the stand-in engines.")
    private String mModel;

    @Option(names = "--service", required = true, description = "Name of the plain service.")
    private String mService;

    @Override
    public Integer call() throws Exception {
        HttpClient client = new HttpClient();
        client.start();
        try {
            Trial trial =
                    new Trial(
                            client,
                            mRouters.stream().map(Endpoint::parse).toList(),
                            mStandIns.stream().map(Endpoint::parse).toList(),
                            mCustomers,
                            mModel,
                            mService,
                            mSpec.commandLine().getOut());
            return trial.run() ? 0 : 1;
        } finally {
            client.stop();
        }
    }
}
