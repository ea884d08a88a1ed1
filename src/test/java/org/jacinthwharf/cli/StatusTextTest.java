package org.jacinthwharf.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Guards against a status text that leaves out or misstates what the JSON says. */
final class StatusTextTest {
    private static final Path APPROVED_JSON =
            Path.of(
                    "src/test/java/org/jacinthwharf/process/control",
                    "StatusReportTest.statusShowsEveryPartThatOperatorsActOn.approved.txt");

    @Test
    void textShowsEveryPartOfTheStatus() throws IOException {
        Approvals.verify(StatusText.status(new ObjectMapper().readTree(APPROVED_JSON.toFile())));
    }
}
