package org.jacinthwharf.cli;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.jacinthwharf.process.settings.Endpoint;
import org.junit.jupiter.api.Test;

/** Guards against a status text that omits or contradicts fields of the JSON. */
final class StatusTextTest {
    private static final Path APPROVED_JSON =
            Path.of(
                    "src/test/java/org/jacinthwharf/process/control",
                    "StatusReportTest.statusShowsEveryPartThatOperatorsActOn.approved.txt");

    @Test
    void textShowsEveryPartOfTheStatus() throws IOException {
        Approvals.verify(StatusText.status(new ObjectMapper().readTree(APPROVED_JSON.toFile())));
    }

    // Guards against a router status without the limits of servers or the service of customers.
    @Test
    void textShowsWhatEachRouterReports() throws IOException {
        String status =
                """
                {"vmId": "vm1", "revision": 7, "validView": false, "openRequests": 3, "waiting": 2,
                 "backendServers": [{"id": "s1", "owner": "vm1", "model": "m", "version": "v1",
                   "state": "cold", "suspect": true, "limit": 2, "announcedRunning": 1}],
                 "customers": [{"id": "c", "weight": 2.0, "counter": 12.5}]}
                """;

        assertThat(
                        StatusText.router(
                                Endpoint.parse("10.0.0.1:9400"),
                                new ObjectMapper().readTree(status)))
                .isEqualTo(
                        """

                        router vm1 at 10.0.0.1:9400, revision 7, 3 open requests, 2 waiting, \
                        NO valid view
                          server s1                   owner vm1, m v1, cold, suspect, limit 2, \
                        running 1
                          customer c                    weight 2.0, service per weight 12.5\
                        """);
    }
}
