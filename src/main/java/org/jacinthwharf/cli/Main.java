package org.jacinthwharf.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the executable jar; each subcommand is a class of this package. */
@Command(
        name = "jacinthwharf",
        mixinStandardHelpOptions = true,
        version = "jacinthwharf 0.1.0",
        description = "Router fleet for backend servers that many customers share.",
        subcommands = {
            RouterCommand.class,
            ControlCommand.class,
            QuestionnaireCommand.class,
            CheckCommand.class,
            StatusCommand.class,
            CustomerCommand.class,
            FailureDomainCommand.class,
            ModelCommand.class,
            MoveCommand.class,
            StandInCommand.class,
            TrialCommand.class,
            FreePortsCommand.class
        })
public final class Main {
    private Main() {}

    static CommandLine commandLine() {
        return new CommandLine(new Main());
    }

    /** Runs the command named by {@code args} and exits with its status. */
    public static void main(String[] args) {
        // Read when the first logger is created, so it must be set before anything else.
        System.setProperty("java.util.logging.manager", LastingLogManager.class.getName());
        System.exit(commandLine().execute(args));
    }
}
