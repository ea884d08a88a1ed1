package org.jacinthwharf.cli;

import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.IntFunction;
import org.jacinthwharf.process.questionnaire.Answers;
import org.jacinthwharf.process.questionnaire.AnswersReader;
import org.jacinthwharf.process.questionnaire.DeploymentFiles;
import org.jacinthwharf.process.questionnaire.Interview;
import org.jacinthwharf.process.questionnaire.OutputFolder;
import org.jacinthwharf.process.questionnaire.Ports;
import org.jacinthwharf.process.settings.SettingsResult;
import org.jacinthwharf.process.settings.SettingsResult.Invalid;
import org.jacinthwharf.process.settings.SettingsResult.Valid;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Collects the answers for a deployment, interactively or from a file, and writes the settings of
 * its processes. Exits with 1 and writes nothing if the answers are invalid or incomplete.
 *
 * <p>Not thread-safe.
 */
@Command(
        name = "questionnaire",
        mixinStandardHelpOptions = true,
        description = "Writes the settings of every process of a deployment from a few answers.")
final class QuestionnaireCommand implements Callable<Integer> {
    private static final int EXIT_INVALID = 1;
    private static final int PORTS_PER_VM = 6;

    @Spec private CommandSpec mSpec;

    @Option(
            names = "--answers",
            paramLabel = "FILE",
            description = "Reads the answers from a file instead of the terminal.")
    private Path mAnswers;

    @Option(
            names = "--write-answers",
            paramLabel = "FILE",
            description = "Saves the answers, for --answers.")
    private Path mWriteAnswers;

    @Option(
            names = "--output",
            paramLabel = "FOLDER",
            defaultValue = "settings",
            description = "Where to write the files. Default: ${DEFAULT-VALUE}.")
    private Path mOutput;

    // Trial fleets run all processes on one IP, so every VM needs separate ports.
    @Option(
            names = "--ports-per-vm",
            hidden = true,
            split = ",",
            description = "Six ports for each VM, instead of the same ports on every VM.")
    private List<Integer> mPorts;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = mSpec.commandLine().getOut();
        PrintWriter err = mSpec.commandLine().getErr();
        AnswersReader reader = new AnswersReader(mPorts != null);
        SettingsResult<Answers> result;
        try {
            result = mAnswers == null ? interview(reader, out) : reader.read(mAnswers);
        } catch (EOFException e) {
            err.println("\nnothing was written: " + e.getMessage());
            return EXIT_INVALID;
        }
        if (result instanceof Invalid<Answers> i) {
            i.problems().forEach(err::println);
            return EXIT_INVALID;
        }
        Answers answers = ((Valid<Answers>) result).settings();
        long vms = answers.failureDomains().stream().mapToLong(f -> f.vms().size()).sum();
        if (mPorts != null && mPorts.size() != vms * PORTS_PER_VM) {
            err.printf("--ports-per-vm needs %d ports for %d VMs%n", vms * PORTS_PER_VM, vms);
            return EXIT_INVALID;
        }
        if (mWriteAnswers != null) {
            Files.writeString(mWriteAnswers, DeploymentFiles.toJson(answers));
        }
        write(DeploymentFiles.generate(answers, portsOf(answers)), out);
        return 0;
    }

    private static SettingsResult<Answers> interview(AnswersReader reader, PrintWriter out)
            throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        return reader.parse("answers", new Interview(in, out).ask());
    }

    private IntFunction<Ports> portsOf(Answers answers) {
        if (mPorts == null) {
            return vm -> answers.ports();
        }
        return vm -> {
            List<Integer> p = mPorts.subList(vm * PORTS_PER_VM, (vm + 1) * PORTS_PER_VM);
            return new Ports(p.get(0), p.get(1), p.get(2), p.get(3), p.get(4), p.get(5));
        };
    }

    private void write(DeploymentFiles files, PrintWriter out) throws IOException {
        boolean tokenWritten = new OutputFolder(mOutput, new SecureRandom()).write(files);
        files.notes().forEach(note -> out.println("note: " + note));
        files.contents().keySet().forEach(name -> out.println("wrote " + mOutput.resolve(name)));
        Path token = mOutput.resolve(DeploymentFiles.TOKEN_FILE);
        out.println((tokenWritten ? "wrote " : "kept the existing ") + token);
    }
}
