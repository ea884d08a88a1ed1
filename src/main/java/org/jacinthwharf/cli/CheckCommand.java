package org.jacinthwharf.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.jacinthwharf.process.settings.SettingsProblem;
import org.jacinthwharf.process.settings.SettingsReader;
import org.jacinthwharf.process.settings.SettingsResult;
import org.jacinthwharf.process.settings.SettingsResult.Invalid;
import org.jacinthwharf.process.settings.SettingsResult.Valid;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks settings files without starting anything. Exits with 1 if a file has a problem. */
@Command(name = "check", description = "Checks settings files and names every problem in them.")
final class CheckCommand implements Callable<Integer> {
    @Spec private CommandSpec mSpec;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Settings files.")
    private List<Path> mFiles;

    private final SettingsReader mReader = new SettingsReader();

    @Override
    public Integer call() {
        boolean valid = true;
        for (Path file : mFiles) {
            valid &= isValid(file);
        }
        return valid ? 0 : 1;
    }

    private boolean isValid(Path file) {
        SettingsResult<String> role = mReader.readRole(file);
        if (role instanceof Invalid<String> i) {
            return report(i.problems());
        }
        String name = ((Valid<String>) role).settings();
        SettingsResult<?> settings =
                name.equals("router") ? mReader.readRouter(file) : mReader.readControl(file);
        if (settings instanceof Invalid<?> i) {
            return report(i.problems());
        }
        mSpec.commandLine().getOut().println(file + ": valid settings of a " + name);
        return true;
    }

    private boolean report(List<SettingsProblem> problems) {
        PrintWriter err = mSpec.commandLine().getErr();
        problems.forEach(err::println);
        return false;
    }
}
