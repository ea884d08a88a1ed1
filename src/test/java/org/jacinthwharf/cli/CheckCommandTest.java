package org.jacinthwharf.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Guards the check of settings against missed problems and messages that do not locate them. */
final class CheckCommandTest {
    @TempDir Path mFolder;
    private Path mRouter;
    private Path mOtherRouter;
    private Path mControl;
    private String mOutput = "";

    @BeforeEach
    void generateSettings() {
        String answers = "docs/examples/qasim.json";
        run("questionnaire", "--answers", answers, "--output", mFolder.toString());
        mRouter = mFolder.resolve("lhr-a-1-router.json");
        mOtherRouter = mFolder.resolve("lhr-a-2-router.json");
        mControl = mFolder.resolve("lhr-a-1-control.json");
    }

    // Guards against a questionnaire that generates settings which fail the check.
    @Test
    void generatedSettingsAreValidTogether() {
        assertThat(check(mRouter, mOtherRouter, mControl)).isEqualTo(0);
    }

    // Guards against messages with raw regular expressions, or without the path or allowed keys.
    @Test
    void messageNamesFilePathValueAndWhatIsAllowed() throws IOException {
        replaceInFile(mRouter, "\"198.51.100.11:8080\"", "\"lhr-a-1:http\"");
        replaceInFile(mRouter, "\"vmId\" : \"lhr-b-1\",", "\"vm\" : \"lhr-b-1\",");

        assertThat(check(mRouter)).isEqualTo(1);

        assertThat(mOutput)
                .contains(
                        mRouter
                                + ": /listen/http: \"lhr-a-1:http\": must be an IP address and a"
                                + " port from 1 to 65535, such as 10.0.0.1:8080; host names are"
                                + " not allowed");
        assertThat(mOutput)
                .contains(
                        "/routers/2/vm: \"lhr-b-1\": is an unknown key; known here: vmId,"
                                + " failureDomain, region, peer");
        assertThat(mOutput).contains("/routers/2/vmId: no value: is required; must be 1 to 128");
        assertThat(mOutput).doesNotContain("^");
    }

    // Guards against values that only the record rejects being reported without their path.
    @Test
    void valueThatOnlyTheRecordRefusesIsNamedWithItsPath() throws IOException {
        replaceInFile(mControl, "\"198.51.100.11:9401\"", "\"198.51.100.11:99401\"");

        assertThat(check(mControl)).isEqualTo(1);

        assertThat(mOutput).contains("/listen/admin: \"198.51.100.11:99401\": ");
    }

    // Guards against routers with different lists of routers, and so different sets of voters.
    @Test
    void filesWithDifferentRoutersAreRefused() throws IOException {
        replaceInFile(mOtherRouter, "198.51.100.31:7400", "198.51.100.39:7400");

        assertThat(check(mRouter, mOtherRouter)).isEqualTo(1);

        assertThat(mOutput).contains(mOtherRouter + ": /routers: only here: [RouterPeer[vmId=fsd");
        assertThat(mOutput).contains("must list the same entries as " + mRouter);
    }

    // Guards against a process that fails to start because its port is in use by another one.
    @Test
    void portUsedTwiceOnOneIpIsRefused() throws IOException {
        replaceInFile(mControl, "198.51.100.11:9401", "198.51.100.11:9400");

        assertThat(check(mRouter, mControl)).isEqualTo(1);

        assertThat(mOutput)
                .contains(
                        mControl
                                + ": /listen/admin: 198.51.100.11:9400: must differ from "
                                + mRouter
                                + " /listen/admin");
    }

    // Guards against a VM whose processes belong to different failure domains.
    @Test
    void processesOfOneVmInDifferentFailureDomainsAreRefused() throws IOException {
        replaceInFile(mControl, "\"failureDomain\" : \"lhr-a\"", "\"failureDomain\" : \"lhr-b\"");

        assertThat(check(mRouter, mControl)).isEqualTo(1);

        assertThat(mOutput).contains("must be pk-central/lhr-a as in the other file of VM lhr-a-1");
    }

    private static void replaceInFile(Path file, String from, String to) throws IOException {
        String text = Files.readString(file);
        assertThat(text).contains(from);
        Files.writeString(file, text.replace(from, to));
    }

    private int check(Path... files) {
        String[] args = new String[files.length + 1];
        args[0] = "check";
        for (int i = 0; i < files.length; i++) {
            args[i + 1] = files[i].toString();
        }
        return run(args);
    }

    private int run(String... args) {
        StringWriter output = new StringWriter();
        CommandLine commandLine = Main.commandLine();
        commandLine.setOut(new PrintWriter(output, true));
        commandLine.setErr(new PrintWriter(output, true));
        int exitCode = commandLine.execute(args);
        mOutput = output.toString();
        return exitCode;
    }
}
