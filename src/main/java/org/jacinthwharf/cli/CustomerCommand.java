package org.jacinthwharf.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Creates, changes and removes customers. */
@Command(
        name = "customer",
        mixinStandardHelpOptions = true,
        description = "Creates, changes and removes customers.",
        subcommands = {CustomerCommand.Put.class, CustomerCommand.Remove.class})
final class CustomerCommand {
    /** Creates or changes a customer. */
    @Command(
            name = "put",
            mixinStandardHelpOptions = true,
            description = "Creates or changes a customer.")
    static final class Put extends OperatorCommand.Mutating {
        @Parameters(paramLabel = "ID")
        private String mId;

        @Option(names = "--weight", defaultValue = "1", description = "Default: ${DEFAULT-VALUE}.")
        private double mWeight;

        @Option(names = "--home-region", defaultValue = "", paramLabel = "REGION")
        private String mHomeRegion;

        @Override
        public Integer call() throws Exception {
            return change(
                    "POST",
                    "/v1/customers/" + mId,
                    JSON.createObjectNode().put("weight", mWeight).put("homeRegion", mHomeRegion));
        }
    }

    /** Removes a customer. */
    @Command(name = "remove", mixinStandardHelpOptions = true, description = "Removes a customer.")
    static final class Remove extends OperatorCommand.Mutating {
        @Parameters(paramLabel = "ID")
        private String mId;

        @Override
        public Integer call() throws Exception {
            return change("DELETE", "/v1/customers/" + mId, JSON.createObjectNode());
        }
    }
}
