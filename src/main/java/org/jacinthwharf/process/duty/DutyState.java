package org.jacinthwharf.process.duty;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jacinthwharf.wire.generated.CapacityOrder;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.DutyGrant;
import org.jacinthwharf.wire.generated.DutySnapshot;
import org.jacinthwharf.wire.generated.UsageWindow;

/**
 * The replicated state of duties: grants, usage windows and orders for servers.
 *
 * <p>Not thread-safe. Deterministic: the time is that of the command. Invariants: the tokens of a
 * duty increase with each grant; a usage window is fixed at most once, in increasing order, and its
 * counts never change; an order is replaced only under the current token.
 */
public final class DutyState {
    /** Delivered windows that are kept for status; two minutes at 5 s each. */
    static final int MAX_DELIVERED_WINDOWS = 24;

    /** Windows that wait for the outside interface, an hour at 5 s each; the oldest are dropped. */
    static final int MAX_PENDING_WINDOWS = 720;

    /** Far more than services times failure domains; bounds the snapshot. */
    static final int MAX_ORDERS = 10_000;

    private final Map<Duty, DutyGrant> mGrants = new EnumMap<>(Duty.class);
    private final TreeMap<Long, UsageWindow> mPending = new TreeMap<>();
    private final Deque<UsageWindow> mDelivered = new ArrayDeque<>();
    private final Map<Subject, CapacityOrder> mOrders = new LinkedHashMap<>();
    private long mNextWindow;
    private long mWindowMillis;

    /** What an order is about. */
    private record Subject(String service, String failureDomain) {
        static Subject of(CapacityOrder order) {
            return new Subject(order.getService(), order.getFailureDomain());
        }
    }

    /** Applies a command if it concerns duties; returns whether it does. */
    public boolean apply(Command command) {
        switch (command.getChangeCase()) {
            case GRANT_DUTY -> grant(command.getGrantDuty(), command.getNowMillis());
            case FIX_USAGE -> fixUsage(command.getFixUsage());
            case USAGE_DELIVERED -> usageDelivered(command.getUsageDelivered());
            case RECORD_ORDER -> recordOrder(command.getRecordOrder(), command.getNowMillis());
            case ORDER_DELIVERED -> orderDelivered(command.getOrderDelivered());
            default -> {
                return false;
            }
        }
        return true;
    }

    private void grant(DutyGrant requested, long nowMillis) {
        Optional<Duty> duty = dutyOf(requested.getDuty());
        if (duty.isEmpty()) {
            return; // Proposed by a newer release.
        }
        DutyGrant last = mGrants.getOrDefault(duty.get(), DutyGrant.getDefaultInstance());
        mGrants.put(duty.get(), requested.toBuilder().setToken(last.getToken() + 1).build());
        long length = requested.getWindowMillis();
        if (duty.get() == Duty.USAGE_REPORT && length > 0 && length != mWindowMillis) {
            mWindowMillis = length;
            mNextWindow = nowMillis / length;
            mPending.clear();
            mDelivered.clear();
        }
    }

    private static Optional<Duty> dutyOf(String name) {
        for (Duty duty : Duty.values()) {
            if (duty.name().equals(name)) {
                return Optional.of(duty);
            }
        }
        return Optional.empty();
    }

    private void fixUsage(UsageWindow window) {
        if (mWindowMillis > 0 && window.getWindow() >= mNextWindow) {
            mNextWindow = window.getWindow() + 1;
            mPending.put(window.getWindow(), window.toBuilder().clearDelivered().build());
            if (mPending.size() > MAX_PENDING_WINDOWS) {
                mPending.pollFirstEntry();
            }
        }
    }

    private void usageDelivered(long number) {
        UsageWindow window = mPending.remove(number);
        if (window != null) {
            mDelivered.addLast(window.toBuilder().setDelivered(true).build());
            if (mDelivered.size() > MAX_DELIVERED_WINDOWS) {
                mDelivered.removeFirst();
            }
        }
    }

    private void recordOrder(CapacityOrder order, long nowMillis) {
        if (order.getToken() != token(Duty.SERVER_SCALING)) {
            return; // A later holder may have ordered something else.
        }
        Subject subject = Subject.of(order);
        mOrders.remove(subject);
        mOrders.put(
                subject, order.toBuilder().setRecordedMillis(nowMillis).clearDelivered().build());
        Iterator<Subject> oldest = mOrders.keySet().iterator();
        while (mOrders.size() > MAX_ORDERS) {
            oldest.next();
            oldest.remove();
        }
    }

    private void orderDelivered(CapacityOrder order) {
        CapacityOrder last = mOrders.get(Subject.of(order));
        if (last != null
                && last.getToken() == order.getToken()
                && last.getServers() == order.getServers()) {
            mOrders.put(Subject.of(order), last.toBuilder().setDelivered(true).build());
        }
    }

    /** Returns the last grant of a duty. */
    public Optional<DutyGrant> grant(Duty duty) {
        return Optional.ofNullable(mGrants.get(duty));
    }

    /** Returns the token of the last grant of a duty, or 0. */
    public long token(Duty duty) {
        return grant(duty).map(DutyGrant::getToken).orElse(0L);
    }

    /** Returns the number of the first window that may still be fixed, or 0 before any grant. */
    public long nextWindow() {
        return mNextWindow;
    }

    /** Returns the length of a window in milliseconds, or 0 before any grant. */
    public long windowMillis() {
        return mWindowMillis;
    }

    /** Returns the fixed windows whose reports were not acknowledged, oldest first. */
    public ImmutableList<UsageWindow> pendingWindows() {
        return ImmutableList.copyOf(mPending.values());
    }

    /** Returns the newest window whose report was acknowledged. */
    public Optional<UsageWindow> lastDelivered() {
        return Optional.ofNullable(mDelivered.peekLast());
    }

    /** Returns the last order for a service in a failure domain. */
    public Optional<CapacityOrder> order(String service, String failureDomain) {
        return Optional.ofNullable(mOrders.get(new Subject(service, failureDomain)));
    }

    /** Returns the last order of each service and failure domain. */
    public ImmutableList<CapacityOrder> orders() {
        return ImmutableList.copyOf(mOrders.values());
    }

    /** Returns the state as a message, or empty if there were no grants. */
    public Optional<DutySnapshot> toMessage() {
        if (mGrants.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                DutySnapshot.newBuilder()
                        .addAllGrants(mGrants.values())
                        .setNextWindow(mNextWindow)
                        .setWindowMillis(mWindowMillis)
                        .addAllWindows(mDelivered)
                        .addAllWindows(mPending.values())
                        .addAllOrders(mOrders.values())
                        .build());
    }

    /** Replaces the state by that of a snapshot. */
    public void replace(DutySnapshot snapshot) {
        mGrants.clear();
        mPending.clear();
        mDelivered.clear();
        mOrders.clear();
        snapshot.getGrantsList()
                .forEach(g -> dutyOf(g.getDuty()).ifPresent(duty -> mGrants.put(duty, g)));
        mNextWindow = snapshot.getNextWindow();
        mWindowMillis = snapshot.getWindowMillis();
        for (UsageWindow window : snapshot.getWindowsList()) {
            if (window.getDelivered()) {
                mDelivered.addLast(window);
            } else {
                mPending.put(window.getWindow(), window);
            }
        }
        snapshot.getOrdersList().forEach(o -> mOrders.put(Subject.of(o), o));
    }
}
