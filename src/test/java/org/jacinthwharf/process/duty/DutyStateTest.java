package org.jacinthwharf.process.duty;

import static com.google.common.truth.Truth.assertThat;

import org.jacinthwharf.wire.generated.CapacityOrder;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.CustomerCount;
import org.jacinthwharf.wire.generated.DutyGrant;
import org.jacinthwharf.wire.generated.DutySnapshot;
import org.jacinthwharf.wire.generated.UsageWindow;
import org.junit.jupiter.api.Test;

/** Guards the replicated facts that outside calls rely on: tokens, window contents, orders. */
final class DutyStateTest {
    private static final long WINDOW_MILLIS = 5_000;
    private static final long NOW_MILLIS = 1_000_003_000L;
    private static final long FIRST_WINDOW = NOW_MILLIS / WINDOW_MILLIS;

    private final DutyState mState = new DutyState();

    private void grant(Duty duty, String vm, long term) {
        DutyGrant.Builder grant =
                DutyGrant.newBuilder().setDuty(duty.name()).setVmId(vm).setTerm(term);
        if (duty == Duty.USAGE_REPORT) {
            grant.setWindowMillis(WINDOW_MILLIS);
        }
        mState.apply(Command.newBuilder().setNowMillis(NOW_MILLIS).setGrantDuty(grant).build());
    }

    private void fix(long window, long requests) {
        mState.apply(
                Command.newBuilder()
                        .setFixUsage(
                                UsageWindow.newBuilder()
                                        .setWindow(window)
                                        .addCounts(
                                                CustomerCount.newBuilder()
                                                        .setCustomer("c")
                                                        .setRequests(requests)))
                        .build());
    }

    private void order(int servers, long token) {
        mState.apply(Command.newBuilder().setRecordOrder(order("s", servers, token)).build());
    }

    private static CapacityOrder order(String service, int servers, long token) {
        return CapacityOrder.newBuilder()
                .setService(service)
                .setFailureDomain("west")
                .setServers(servers)
                .setToken(token)
                .build();
    }

    /** A token given twice would let two holders act at the same time. */
    @Test
    void tokensGrowWithEachGrantAlsoAfterRestore() {
        grant(Duty.USAGE_REPORT, "10.0.0.1", 3);
        DutySnapshot snapshot = mState.toMessage().orElseThrow();
        grant(Duty.USAGE_REPORT, "10.0.0.2", 4);
        assertThat(mState.token(Duty.USAGE_REPORT)).isEqualTo(2);
        mState.replace(snapshot);
        grant(Duty.USAGE_REPORT, "10.0.0.3", 5);
        assertThat(mState.token(Duty.USAGE_REPORT)).isEqualTo(2);
        assertThat(mState.token(Duty.SERVER_SCALING)).isEqualTo(0);
    }

    /** Two contents of one window would be two different reports of it. */
    @Test
    void countsOfFixedWindowNeverChange() {
        grant(Duty.USAGE_REPORT, "10.0.0.1", 3);
        fix(FIRST_WINDOW, 7);
        fix(FIRST_WINDOW, 8);
        fix(FIRST_WINDOW - 1, 9);
        assertThat(mState.pendingWindows()).hasSize(1);
        assertThat(mState.pendingWindows().get(0).getCounts(0).getRequests()).isEqualTo(7);
        mState.apply(Command.newBuilder().setUsageDelivered(FIRST_WINDOW).build());
        fix(FIRST_WINDOW, 10);
        assertThat(mState.pendingWindows()).isEmpty();
        assertThat(mState.lastDelivered().orElseThrow().getCounts(0).getRequests()).isEqualTo(7);
    }

    /** A window fixed again after a later grant, or a restore, would differ from what was sent. */
    @Test
    void fixedWindowsOutlastGrantsAndRestores() {
        grant(Duty.USAGE_REPORT, "10.0.0.1", 3);
        fix(FIRST_WINDOW, 7);
        grant(Duty.USAGE_REPORT, "10.0.0.2", 4);
        DutyState restored = new DutyState();
        restored.replace(mState.toMessage().orElseThrow());
        assertThat(restored.toMessage()).isEqualTo(mState.toMessage());
        assertThat(restored.nextWindow()).isEqualTo(FIRST_WINDOW + 1);
        assertThat(restored.pendingWindows()).hasSize(1);
    }

    /** An order of an earlier holder that is committed late would undo that of a later one. */
    @Test
    void ordersUnderAnEarlierTokenAreIgnored() {
        grant(Duty.SERVER_SCALING, "10.0.0.1", 3);
        order(5, 1);
        grant(Duty.SERVER_SCALING, "10.0.0.2", 4);
        order(6, 1);
        assertThat(mState.order("s", "west").orElseThrow().getServers()).isEqualTo(5);
        order(7, 2);
        assertThat(mState.order("s", "west").orElseThrow().getServers()).isEqualTo(7);
    }

    /** A late acknowledgement of an earlier order must not end the repeats of the newer one. */
    @Test
    void onlyTheLastOrderIsAcknowledged() {
        grant(Duty.SERVER_SCALING, "10.0.0.1", 3);
        order(5, 1);
        order(6, 1);
        mState.apply(Command.newBuilder().setOrderDelivered(order("s", 5, 1)).build());
        assertThat(mState.order("s", "west").orElseThrow().getDelivered()).isFalse();
        mState.apply(Command.newBuilder().setOrderDelivered(order("s", 6, 1)).build());
        assertThat(mState.order("s", "west").orElseThrow().getDelivered()).isTrue();
    }

    /** The snapshot would grow for ever with the names of services. */
    @Test
    void windowsAndOrdersAreBounded() {
        grant(Duty.USAGE_REPORT, "10.0.0.1", 3);
        grant(Duty.SERVER_SCALING, "10.0.0.1", 3);
        for (int i = 0; i < 2 * DutyState.MAX_ORDERS; i++) {
            fix(FIRST_WINDOW + i, 1);
            mState.apply(Command.newBuilder().setUsageDelivered(FIRST_WINDOW + i).build());
            mState.apply(Command.newBuilder().setRecordOrder(order("s" + i, 1, 1)).build());
        }
        DutySnapshot snapshot = mState.toMessage().orElseThrow();
        assertThat(snapshot.getWindowsCount()).isEqualTo(DutyState.MAX_DELIVERED_WINDOWS);
        long next = mState.nextWindow();
        for (int i = 0; i < 2 * DutyState.MAX_PENDING_WINDOWS; i++) {
            fix(next + i, 1);
        }
        assertThat(mState.pendingWindows()).hasSize(DutyState.MAX_PENDING_WINDOWS);
        assertThat(snapshot.getOrdersCount()).isEqualTo(DutyState.MAX_ORDERS);
    }
}
