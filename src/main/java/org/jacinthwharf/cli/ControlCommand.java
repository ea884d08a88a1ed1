package org.jacinthwharf.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.jacinthwharf.process.assembly.ControlAssembly;
import org.jacinthwharf.process.consensus.StorageOpenResult;
import org.jacinthwharf.process.control.ControlProcess;
import org.jacinthwharf.process.loop.ThreadEventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.settings.ControlSettings;
import org.jacinthwharf.process.settings.SettingsReader;
import org.jacinthwharf.process.settings.SettingsResult;
import org.jacinthwharf.process.settings.SettingsResult.Invalid;
import org.jacinthwharf.process.settings.SettingsResult.Valid;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs a control member until SIGTERM. */
@Command(name = "control", description = "Runs a control member.")
final class ControlCommand implements Callable<Integer> {
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_STORAGE_REFUSED = 74; // EX_IOERR of sysexits.h

    @Spec private CommandSpec mSpec;

    @Option(names = "--settings", required = true, description = "Settings file.")
    private Path mFile;

    @Option(
            names = "--join-only",
            description =
                    "Never founds a group, even if all members are empty; for a member that"
                            + " replaces a lost one.")
    private boolean mJoinOnly;

    @Override
    public Integer call() throws Exception {
        PrintWriter err = mSpec.commandLine().getErr();
        SettingsResult<ControlSettings> result = new SettingsReader().readControl(mFile);
        if (result instanceof Invalid<ControlSettings> i) {
            i.problems().forEach(err::println);
            return EXIT_INVALID_SETTINGS;
        }
        ControlSettings settings = ((Valid<ControlSettings>) result).settings();
        StorageOpenResult openResult = ControlAssembly.openStorage(settings);
        if (openResult instanceof StorageOpenResult.Refused r) {
            err.println(settings.dataFolder() + ": " + r.reason() + ": " + r.detail());
            return EXIT_STORAGE_REFUSED;
        }
        var storage = ((StorageOpenResult.Opened) openResult).storage();
        ThreadEventLoop loop = ThreadEventLoop.haltingProcess("decisions");
        ShutdownSignal.startAndAwait(
                () ->
                        ControlProcess.start(
                                        settings,
                                        loop,
                                        new FleetMetrics(),
                                        ControlAssembly.components(
                                                settings, storage, !mJoinOnly, loop))
                                ::close);
        loop.close();
        return 0;
    }
}
