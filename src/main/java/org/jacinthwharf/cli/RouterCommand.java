package org.jacinthwharf.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.jacinthwharf.process.loop.ThreadEventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.router.RouterProcess;
import org.jacinthwharf.process.settings.RouterSettings;
import org.jacinthwharf.process.settings.SettingsReader;
import org.jacinthwharf.process.settings.SettingsResult;
import org.jacinthwharf.process.settings.SettingsResult.Invalid;
import org.jacinthwharf.process.settings.SettingsResult.Valid;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs a router until SIGTERM, which stops it without interrupting requests. */
@Command(name = "router", description = "Runs a router.")
final class RouterCommand implements Callable<Integer> {
    @Spec private CommandSpec mSpec;

    @Option(names = "--settings", required = true, description = "Settings file.")
    private Path mFile;

    @Override
    public Integer call() throws Exception {
        SettingsResult<RouterSettings> result = new SettingsReader().readRouter(mFile);
        if (result instanceof Invalid<RouterSettings> i) {
            PrintWriter err = mSpec.commandLine().getErr();
            i.problems().forEach(err::println);
            return 2;
        }
        RouterSettings settings = ((Valid<RouterSettings>) result).settings();
        ThreadEventLoop loop = ThreadEventLoop.haltingProcess("decisions");
        RouterProcess process = new RouterProcess(settings, loop, new FleetMetrics());
        ShutdownSignal.startAndAwait(
                () -> {
                    process.start();
                    return process::stop;
                });
        loop.close();
        return 0;
    }
}
