package org.jacinthwharf.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the executable jar. */
@Command(
        name = "jacinthwharf",
        mixinStandardHelpOptions = true,
        description = "Routers and control members of a fleet, and the commands of its operators.",
        subcommands = {
            CustomerCommand.class,
            FailureDomainCommand.class,
            ModelCommand.class,
            MoveCommand.class,
            StatusCommand.class
        })
public final class Main {
    private Main() {}

    static CommandLine commandLine() {
        return new CommandLine(new Main());
    }

    /** Runs the command named by {@code args} and exits with its code. */
    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }
}
