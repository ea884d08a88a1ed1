package org.jacinthwharf.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.FreePorts;
import org.jacinthwharf.process.consensus.LeaveOutcome;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.control.ControlProcess;
import org.jacinthwharf.process.control.InMemoryClaims;
import org.jacinthwharf.process.control.LeaseWitness;
import org.jacinthwharf.process.control.LogFactory;
import org.jacinthwharf.process.control.MovePlanner;
import org.jacinthwharf.process.control.SingleMemberLog;
import org.jacinthwharf.process.loop.ThreadEventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.settings.ControlPeer;
import org.jacinthwharf.process.settings.ControlSettings;
import org.jacinthwharf.process.settings.Endpoint;
import org.jacinthwharf.process.settings.Listen;
import org.jacinthwharf.wire.generated.Envelope;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Guards operator commands, run against a control process: wrong exit codes and lost changes. */
final class OperatorCommandTest {
    @TempDir Path mFolder;
    private final List<Throwable> mFailures = new ArrayList<>();
    private final ThreadEventLoop mLoop = new ThreadEventLoop("test-loop", mFailures::add);
    private ControlProcess mProcess;
    private Endpoint mHttp;
    private Endpoint mUnreachable;
    private String mOutput = "";

    @BeforeEach
    void start() throws IOException {
        Path token = Files.writeString(mFolder.resolve("token"), "secret\n");
        mHttp = freeEndpoint();
        mUnreachable = freeEndpoint();
        Endpoint peer = freeEndpoint();
        ControlSettings settings =
                new ControlSettings(
                        "vm1",
                        "fd1",
                        "r1",
                        new Listen(mHttp, peer, freeEndpoint()),
                        List.of(new ControlPeer("vm1", "fd1", "r1", peer, mHttp)),
                        List.of(),
                        mFolder.toString(),
                        token.toString());
        LogFactory logs = (state, loop, members) -> new InMemoryLog(new SingleMemberLog(state));
        mProcess =
                ControlProcess.start(
                        settings,
                        mLoop,
                        new FleetMetrics(),
                        new ControlProcess.Components(
                                logs,
                                new InMemoryClaims(),
                                MovePlanner.noOp(),
                                LeaseWitness.nonVoting()));
    }

    @AfterEach
    void stop() {
        mProcess.close();
        mLoop.close();
        assertThat(mFailures).isEmpty();
    }

    /** Guards against a command that fails although another member would answer. */
    @Test
    void commandTriesTheNextMemberWhenOneDoesNotAnswer() {
        assertThat(run("customer", "put", "alpha", "--control", mUnreachable.toString()))
                .isNotEqualTo(0);
        assertThat(mOutput).contains("--command-id");

        assertThat(change("customer", "put", "alpha", "--control", mUnreachable.toString()))
                .isEqualTo(0);
        assertThat(mOutput).contains("applied, revision 1");
    }

    /** Guards against refusals with the exit code of a success. */
    @Test
    void refusedCommandsFailWithTheReasonAndChangeNothing() throws IOException {
        assertThat(change("failure-domain", "out", "typo")).isEqualTo(1);
        assertThat(mOutput).contains("unknown failure domain 'typo'");
        assertThat(change("customer", "put", "alpha", "--based-on", "7")).isEqualTo(1);
        assertThat(mOutput).contains("revision 0");
        Files.writeString(mFolder.resolve("token"), "wrong");
        assertThat(change("customer", "put", "alpha")).isEqualTo(1);
        assertThat(mOutput).contains("unauthorized");
        Files.delete(mFolder.resolve("token"));
        assertThat(change("customer", "put", "alpha")).isEqualTo(1);
        assertThat(mOutput).startsWith("cannot read the token file");
        status();
        assertThat(mOutput).contains("revision 0 ");
    }

    /** Guards against commands that do not send all of their fields. */
    @Test
    void statusShowsWhatTheCommandsChanged() {
        assertThat(change("failure-domain", "add", "fd1", "--region", "r1")).isEqualTo(0);
        assertThat(change("failure-domain", "out", "fd1")).isEqualTo(0);
        assertThat(change("model", "put", "m", "--version", "v1")).isEqualTo(0);
        assertThat(change("move", "start", "m", "--to", "v2", "--deadline", "2999-01-01T00:00:00Z"))
                .isEqualTo(0);
        assertThat(change("customer", "put", "alpha", "--weight", "3")).isEqualTo(0);
        assertThat(change("customer", "remove", "alpha")).isEqualTo(0);
        status();
        assertThat(mOutput).contains("m from v1 to v2, canary, share 0.00%");
        assertThat(mOutput).containsMatch("fd1 +out +in force");
        assertThat(mOutput).doesNotContain("alpha");
    }

    private void status() {
        execute("status", "--control", mHttp.toString());
    }

    private int change(String... args) {
        List<String> all = new ArrayList<>(List.of(args));
        all.addAll(List.of("--control", mHttp.toString()));
        return run(all.toArray(String[]::new));
    }

    private int run(String... args) {
        List<String> all = new ArrayList<>(List.of(args));
        all.addAll(List.of("--token-file", mFolder.resolve("token").toString()));
        return execute(all.toArray(String[]::new));
    }

    private int execute(String... args) {
        StringWriter output = new StringWriter();
        CommandLine commandLine = Main.commandLine();
        commandLine.setOut(new PrintWriter(output, true));
        commandLine.setErr(new PrintWriter(output, true));
        int code = commandLine.execute(args);
        mOutput = output.toString();
        return code;
    }

    private static Endpoint freeEndpoint() {
        return new Endpoint("127.0.0.1", FreePorts.next());
    }

    private record InMemoryLog(ReplicatedLog log) implements LogFactory.OpenLog {
        @Override
        public void onMessage(Link from, Envelope message) {}

        @Override
        public void onRefused(VmId vm) {}

        @Override
        public CompletableFuture<LeaveOutcome> leave(Duration limit) {
            return CompletableFuture.completedFuture(LeaveOutcome.STAYS);
        }

        @Override
        public void close() {}
    }
}
