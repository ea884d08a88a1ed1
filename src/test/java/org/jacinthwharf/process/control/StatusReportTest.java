package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;
import static org.jacinthwharf.process.control.Commands.apply;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.approvaltests.Approvals;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.settings.Endpoint;
import org.jacinthwharf.process.settings.RouterPeer;
import org.junit.jupiter.api.Test;

/** Guards operators' view: an order shown as in force before every router confirmed it. */
final class StatusReportTest {
    private static final List<RouterPeer> ROUTERS = List.of(router("r1"), router("r2"));

    private final ControlStateMachine mState = new ControlStateMachine(new InMemoryClaims());

    StatusReportTest() {
        apply(mState, Commands.failureDomain("c1", "lhr-a", "pk-central", false));
        apply(mState, Commands.failureDomain("c2", "lhr-b", "pk-central", false));
        apply(mState, Commands.customer("c3", "portal", 2.5));
        apply(mState, Commands.model("c4", "catalogue", "v1"));
        apply(mState, Commands.move("move-1", "catalogue", "v2", 1_900_000_000_000L));
        apply(mState, Commands.failureDomain("c6", "lhr-b", "", true));
    }

    @Test
    void statusShowsEveryPartThatOperatorsActOn() {
        Approvals.verify(status(Map.of("r1", 6L, "r2", 5L)).toPrettyString());
    }

    @Test
    void orderIsPendingUntilEveryRouterOfTheSettingsConfirmedIt() {
        assertThat(stateOfLhrB(Map.of("r1", 6L))).isEqualTo("pending");
        assertThat(stateOfLhrB(Map.of("r1", 6L, "r2", 5L))).isEqualTo("pending");
        assertThat(stateOfLhrB(Map.of("r1", 6L, "r2", 6L))).isEqualTo("in force");
    }

    private String stateOfLhrB(Map<String, Long> reported) {
        return status(reported).at("/failureDomains/1/state").asText();
    }

    private ObjectNode status(Map<String, Long> reported) {
        return StatusReport.status(
                mState.configuration(),
                true,
                VmId.of("vm1"),
                new SingleMemberLog(mState).status(),
                ROUTERS,
                reported);
    }

    private static RouterPeer router(String vmId) {
        return new RouterPeer(vmId, "lhr-a", "pk-central", Endpoint.parse("127.0.0.1:7000"));
    }
}
