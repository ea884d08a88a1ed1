package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;
import static org.jacinthwharf.process.control.TestCommands.apply;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.approvaltests.Approvals;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.settings.Endpoint;
import org.jacinthwharf.process.settings.RouterPeer;
import org.junit.jupiter.api.Test;

/** Guards against showing a change as in force before every router confirmed it. */
final class StatusReportTest {
    private static final List<RouterPeer> ROUTERS = List.of(router("r1"), router("r2"));

    private final ControlStateMachine mState = new ControlStateMachine(new InMemoryClaims());

    StatusReportTest() {
        apply(mState, TestCommands.failureDomain("c1", "lhr-a", "pk-central", false));
        apply(mState, TestCommands.failureDomain("c2", "lhr-b", "pk-central", false));
        apply(mState, TestCommands.customer("c3", "portal", 2.5));
        apply(mState, TestCommands.model("c4", "catalogue", "v1"));
        apply(mState, TestCommands.move("move-1", "catalogue", "v2", 1_900_000_000_000L));
        apply(mState, TestCommands.failureDomain("c6", "lhr-b", "", true));
    }

    @Test
    void statusShowsEveryPartThatOperatorsActOn() {
        Approvals.verify(status(Map.of("r1", 6L, "r2", 5L)).toPrettyString());
    }

    @Test
    void changeIsPendingUntilEveryRouterOfTheSettingsConfirmedIt() {
        assertThat(stateOfLhrB(Map.of("r1", 6L))).isEqualTo("pending");
        assertThat(stateOfLhrB(Map.of("r1", 6L, "r2", 5L))).isEqualTo("pending");
        assertThat(stateOfLhrB(Map.of("r1", 6L, "r2", 6L))).isEqualTo("in force");
    }

    private String stateOfLhrB(Map<String, Long> reportedRevisions) {
        return status(reportedRevisions).at("/failureDomains/1/state").asText();
    }

    private ObjectNode status(Map<String, Long> reportedRevisions) {
        return StatusReport.status(
                mState.configuration(),
                true,
                VmId.of("vm1"),
                new SingleMemberLog(mState).status(),
                ROUTERS,
                reportedRevisions);
    }

    private static RouterPeer router(String vmId) {
        return new RouterPeer(vmId, "lhr-a", "pk-central", Endpoint.parse("127.0.0.1:7000"));
    }
}
