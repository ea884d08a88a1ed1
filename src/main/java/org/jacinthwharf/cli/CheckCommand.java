package org.jacinthwharf.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import org.jacinthwharf.process.settings.DeploymentCheck;
import org.jacinthwharf.process.settings.SettingsProblem;
import org.jacinthwharf.process.settings.SettingsReader;
import org.jacinthwharf.process.settings.SettingsResult;
import org.jacinthwharf.process.settings.SettingsResult.Invalid;
import org.jacinthwharf.process.settings.SettingsResult.Valid;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Validates settings files, individually and against the other files of the same deployment,
 * without starting anything. Exits with 1 if there is a problem.
 *
 * <p>Not thread-safe.
 */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Checks the settings files of one deployment and names every problem in them.")
final class CheckCommand implements Callable<Integer> {
    @Spec private CommandSpec mSpec;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Settings files.")
    private List<Path> mFiles;

    private final SettingsReader mReader = new SettingsReader();
    private final DeploymentCheck mDeploymentCheck = new DeploymentCheck();

    @Override
    public Integer call() {
        boolean valid = true;
        for (Path file : mFiles) {
            valid &= checkFile(file);
        }
        // Files that are invalid on their own are not compared with the others.
        valid &= report(mDeploymentCheck.problems());
        return valid ? 0 : 1;
    }

    private boolean checkFile(Path file) {
        SettingsResult<String> role = mReader.readRole(file);
        if (role instanceof Invalid<String> i) {
            return report(i.problems());
        }
        String name = ((Valid<String>) role).settings();
        return name.equals("router")
                ? addToDeployment(
                        file,
                        name,
                        mReader.readRouter(file),
                        s -> mDeploymentCheck.add(file.toString(), s))
                : addToDeployment(
                        file,
                        name,
                        mReader.readControl(file),
                        s -> mDeploymentCheck.add(file.toString(), s));
    }

    private <T> boolean addToDeployment(
            Path file, String role, SettingsResult<T> result, Consumer<T> adder) {
        if (result instanceof Invalid<T> i) {
            return report(i.problems());
        }
        adder.accept(((Valid<T>) result).settings());
        mSpec.commandLine().getOut().println(file + ": valid settings of a " + role);
        return true;
    }

    private boolean report(List<SettingsProblem> problems) {
        PrintWriter err = mSpec.commandLine().getErr();
        problems.forEach(err::println);
        return problems.isEmpty();
    }
}
