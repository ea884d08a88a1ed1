package org.jacinthwharf.process.questionnaire;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringReader;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.jacinthwharf.process.settings.SettingsResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards the generated files: wrong control members, lost answers and overwritten tokens. */
final class QuestionnaireTest {
    private static final Path EXAMPLES = Path.of("docs/examples");

    @TempDir Path mFolder;
    private final AnswersReader mReader = new AnswersReader(false);

    // Guards against unintended changes of the generated settings.
    @Test
    void filesOfFerroviasStayAsApproved() {
        Approvals.verify(files("ferrovias"));
    }

    // As above, for the second deployment.
    @Test
    void filesOfQasimStayAsApproved() {
        Approvals.verify(files("qasim"));
    }

    // Guards against several control members in one failure domain while others have none.
    @Test
    void membersAreSpreadOverFailureDomainsBeforeOneGetsTwo() {
        MemberChoice choice = choose("ddd", "d", "dd");

        assertThat(choice.vmIds()).containsExactly("0-0", "1-0", "2-0", "0-1", "2-1");
        assertThat(choice.notes().toString()).contains("6 VMs have a disk and 5 of them");
    }

    // Guards against a group that tolerates no loss without a note to operators.
    @Test
    void fewerThanThreeDisksGiveOneMemberAndAnExplanation() {
        MemberChoice choice = choose("d", "d-", "-");

        assertThat(choice.vmIds()).containsExactly("0-0");
        assertThat(choice.notes().toString()).contains("Only 2 VMs have a disk");
    }

    // Guards against an even number of members, and against a majority in one failure domain
    // without a note to operators.
    @Test
    void evenNumberOfDisksLeavesOneOutAndMajorityInOneFailureDomainIsExplained() {
        MemberChoice choice = choose("ddd", "d");

        assertThat(choice.vmIds()).containsExactly("0-0", "1-0", "0-1");
        assertThat(choice.notes().toString()).contains("an even number of members");
        assertThat(choice.notes().toString()).contains("Failure domain 0 has a majority");
    }

    // Guards against answers that match the schema but lead to processes that cannot start.
    @Test
    void contradictoryAnswersAreNamedWithTheirPath() throws IOException {
        ObjectNode tree = answers("--", "-");
        ((ObjectNode) tree.at("/failureDomains/0/vms/1")).put("ip", "10.0.0.0");
        ((ObjectNode) tree.at("/customers/0")).put("weight", 0);
        assertThat(problems(tree))
                .contains("/customers/0/weight: 0: must be a number above 0 to 1000000");
        ((ObjectNode) tree.at("/customers/0")).put("weight", 1);
        tree.putObject("ports").put("controlHttp", 8080);

        String problems = problems(tree);

        assertThat(problems).contains("/ports/controlHttp: 8080: must differ from");
        assertThat(problems).contains("/failureDomains/0/vms/1/ip: 10.0.0.0: must differ from");
        assertThat(problems).contains("/failureDomains: no VM with a disk: must have a VM");
    }

    // Guards against a second run that invalidates the token of the first one.
    @Test
    void tokenIsPrivateAndNeverOverwritten() throws IOException {
        DeploymentFiles files = DeploymentFiles.generate(requireValid(answers("d")));
        OutputFolder folder = new OutputFolder(mFolder, new SecureRandom());
        Path token = mFolder.resolve("operator-token");

        assertThat(folder.write(files)).isTrue();
        String first = Files.readString(token);
        assertThat(folder.write(files)).isFalse();

        assertThat(Files.readString(token)).isEqualTo(first);
        assertThat(first.strip()).hasLength(64);
        assertThat(PosixFilePermissions.toString(Files.getPosixFilePermissions(token)))
                .isEqualTo("rw-------");
    }

    // Guards against accepting an invalid answer, prompts that omit what is valid, and saved
    // answers that cannot be read again.
    @Test
    void interviewRepeatsQuestionsAndItsAnswersCanBeReadAgain() throws IOException {
        String input =
                "shop\nnorth pole\nnorth\na a\na b\n0\n1\n\nhost.example\n10.0.0.1\n\n"
                        + "1\nb 1\nb1\n10.0.0.1\n10.0.0.2\nmaybe\nno\nno\n80\n80\n\n\n\n\n\n"
                        + "catalogue\ncatalogue v1\n\n\n\nlarge 8\nsmall\nsmall\nbad x\n\n";
        StringWriter printed = new StringWriter();
        Interview interview =
                new Interview(
                        new BufferedReader(new StringReader(input)), new PrintWriter(printed));

        Answers answers = requireValid(interview.ask());

        String saved = DeploymentFiles.toJson(answers);
        assertThat(requireValid(new ObjectMapper().readTree(saved))).isEqualTo(answers);
        Approvals.verify(printed + "\n\n" + saved);
    }

    private String files(String example) {
        SettingsResult<Answers> result = mReader.read(EXAMPLES.resolve(example + ".json"));
        Answers answers = ((SettingsResult.Valid<Answers>) result).settings();
        return DeploymentFiles.generate(answers).contents().entrySet().stream()
                .map(f -> "== " + f.getKey() + "\n" + f.getValue())
                .collect(Collectors.joining("\n"));
    }

    private MemberChoice choose(String... failureDomains) {
        return MemberChoice.of(requireValid(answers(failureDomains)));
    }

    // Each string is a failure domain and each of its characters a VM; d is a VM with a disk.
    private static ObjectNode answers(String... failureDomains) {
        ObjectNode answers = new ObjectMapper().createObjectNode();
        answers.put("deployment", "test").put("region", "north");
        var domains = answers.putArray("failureDomains");
        int ip = 0;
        for (int i = 0; i < failureDomains.length; i++) {
            var vms = domains.addObject().put("id", "" + i).putArray("vms");
            for (int j = 0; j < failureDomains[i].length(); j++) {
                vms.addObject()
                        .put("id", i + "-" + j)
                        .put("ip", "10.0.0." + ip++)
                        .put("disk", failureDomains[i].charAt(j) == 'd');
            }
        }
        answers.putArray("models").addObject().put("id", "m").put("version", "v1");
        answers.putArray("services");
        answers.putArray("customers").addObject().put("id", "c").put("weight", 1);
        return answers;
    }

    private Answers requireValid(JsonNode tree) {
        return ((SettingsResult.Valid<Answers>) mReader.parse("test", tree)).settings();
    }

    private String problems(ObjectNode tree) {
        SettingsResult<Answers> result = mReader.parse("test", tree);
        return ((SettingsResult.Invalid<Answers>) result)
                .problems().stream().map(Object::toString).collect(Collectors.joining("\n"));
    }
}
