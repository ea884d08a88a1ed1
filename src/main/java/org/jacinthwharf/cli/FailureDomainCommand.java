package org.jacinthwharf.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Adds failure domains, takes them out of service and puts them back. */
@Command(
        name = "failure-domain",
        mixinStandardHelpOptions = true,
        description = "Adds failure domains, takes them out of service and puts them back.",
        subcommands = {
            FailureDomainCommand.Out.class,
            FailureDomainCommand.Back.class,
            FailureDomainCommand.Add.class
        })
final class FailureDomainCommand {
    private static final String PATH = "/v1/failure-domains/";

    private static ObjectNode body(boolean out) {
        return OperatorCommand.JSON.createObjectNode().put("out", out);
    }

    /** Takes a failure domain out of service. */
    @Command(
            name = "out",
            mixinStandardHelpOptions = true,
            description = "Takes a failure domain out of service.")
    static final class Out extends OperatorCommand.Mutating {
        @Parameters(paramLabel = "ID")
        private String mId;

        @Override
        public Integer call() throws Exception {
            return change("POST", PATH + mId, body(true));
        }
    }

    /** Puts a failure domain back into service. */
    @Command(
            name = "back",
            mixinStandardHelpOptions = true,
            description = "Puts a failure domain back into service.")
    static final class Back extends OperatorCommand.Mutating {
        @Parameters(paramLabel = "ID")
        private String mId;

        @Override
        public Integer call() throws Exception {
            return change("POST", PATH + mId, body(false));
        }
    }

    /** Adds a failure domain. */
    @Command(
            name = "add",
            mixinStandardHelpOptions = true,
            description = "Adds a failure domain, in service.")
    static final class Add extends OperatorCommand.Mutating {
        @Parameters(paramLabel = "ID")
        private String mId;

        @Option(names = "--region", required = true)
        private String mRegion;

        @Override
        public Integer call() throws Exception {
            return change("POST", PATH + mId, body(false).put("region", mRegion));
        }
    }
}
