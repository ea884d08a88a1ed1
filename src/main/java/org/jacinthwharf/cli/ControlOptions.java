package org.jacinthwharf.cli;

import java.nio.file.Path;
import java.util.List;
import org.jacinthwharf.process.settings.Endpoint;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Option;

/** Options of commands that query control members. Populated by picocli; not thread-safe. */
class ControlOptions {
    @Option(
            names = "--control",
            required = true,
            paramLabel = "IP:PORT",
            converter = EndpointConverter.class,
            description = "Operator address of a control member; repeat to name more.")
    private List<Endpoint> mControl;

    List<Endpoint> control() {
        return mControl;
    }

    /** Additional options of commands that change the configuration. */
    static final class Mutating extends ControlOptions {
        @Option(
                names = "--token-file",
                required = true,
                paramLabel = "FILE",
                description = "File that holds the bearer token.")
        private Path mTokenFile;

        @Option(
                names = "--based-on",
                paramLabel = "REVISION",
                description = "Refuse the change when another revision is current.")
        private Long mBaseRevision;

        @Option(
                names = "--command-id",
                paramLabel = "ID",
                description = "Id of an earlier call whose answer was lost; default: a new one.")
        private String mCommandId;

        Path tokenFile() {
            return mTokenFile;
        }

        String baseRevision() {
            return mBaseRevision == null ? "" : Long.toString(mBaseRevision);
        }

        String commandId() {
            return mCommandId == null ? "" : mCommandId;
        }
    }

    /** Parses an endpoint; picocli reports the message of the exception. */
    static final class EndpointConverter implements ITypeConverter<Endpoint> {
        @Override
        public Endpoint convert(String value) {
            return Endpoint.parse(value);
        }
    }
}
