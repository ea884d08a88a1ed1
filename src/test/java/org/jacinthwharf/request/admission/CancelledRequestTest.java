package org.jacinthwharf.request.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Demand;
import org.jacinthwharf.wire.generated.DemandHead;
import org.jacinthwharf.wire.generated.Pool;
import org.jacinthwharf.wire.generated.ServerAnnouncement;
import org.jacinthwharf.wire.generated.ServerState;
import org.jacinthwharf.wire.generated.SlotReturn;
import org.junit.jupiter.api.Test;

/**
 * Guards against exceeding the limit of a cold server, which continues to run requests that a
 * router cancelled until it detects the cancellation.
 */
final class CancelledRequestTest {
    private static final long SECOND = 1_000_000_000L;

    private final OwnerAdmission mOwner =
            new OwnerAdmission(
                    RouterIncarnation.of(VmId.of("r"), 1), FailureDomainId.of("fd"), "region");
    private long mSequence;

    private List<OwnerAction> announce(int running, long now) {
        return mOwner.onAnnouncement(
                ServerAnnouncement.newBuilder()
                        .setServer("s")
                        .setIncarnation(1)
                        .setSequence(++mSequence)
                        .setAddress("127.0.0.1:1")
                        .setModel("m")
                        .setVersion("v1")
                        .setState(ServerState.COLD)
                        .setColdLimit(1)
                        .setWarmLimit(8)
                        .setRunning(running)
                        .build(),
                now);
    }

    private List<OwnerAction> demand(long now) {
        return mOwner.onDemand(
                Demand.newBuilder()
                        .setRouter("r")
                        .setRouterIncarnation(1)
                        .setSequence(++mSequence)
                        .setPool(Pool.newBuilder().setModel("m").setVersion("v1"))
                        .setWaiting(1)
                        .addHeads(
                                DemandHead.newBuilder()
                                        .setCustomer("c")
                                        .setWaiting(1)
                                        .setEstimatedCost(1))
                        .build(),
                now);
    }

    private static List<Long> slotsIn(List<OwnerAction> actions) {
        return actions.stream()
                .filter(a -> a instanceof OwnerAction.Send)
                .flatMap(
                        a ->
                                ((OwnerAction.Send) a)
                                        .message().getSlotGrant().getSlotsList().stream())
                .toList();
    }

    @Test
    void slotOfCancelledRequestIsGrantedAgainOnlyWhenTheColdServerAnnouncesFewer() {
        mOwner.onLease(1, Long.MAX_VALUE / 2);
        mOwner.onServerAcquired(BackendServerId.of("s"), 0);
        long now = 10 * SECOND;
        announce(0, now);
        List<Long> slots = slotsIn(demand(now));
        assertThat(slots).hasSize(1);

        SlotReturn cancelled =
                SlotReturn.newBuilder()
                        .setRouter("r")
                        .setRouterIncarnation(1)
                        .setServer("s")
                        .addAllSlots(slots)
                        .setCancelled(true)
                        .setNumber(1)
                        .setGrantsSeen(1)
                        .build();
        mOwner.onReturn(cancelled, now);
        assertThat(slotsIn(demand(now))).isEmpty();

        now += 3 * SECOND;
        announce(1, now);
        assertThat(slotsIn(demand(now))).isEmpty();

        now += SECOND;
        announce(0, now);
        assertThat(slotsIn(demand(now))).hasSize(1);
    }
}
