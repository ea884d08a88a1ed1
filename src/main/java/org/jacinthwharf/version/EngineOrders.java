package org.jacinthwharf.version;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.TreeMap;
import org.jacinthwharf.id.BackendServerId;

/**
 * Tracks and retries the orders of an owner router to its engines.
 *
 * <p>Invariants: an order is sent only if its timeout ends before the lease; a new owner sends its
 * first order once no order of the previous owner can be in flight; an order with an older token
 * than a known one is never sent; an order is retried while the engine reports any other state than
 * its target, which also overrides a late write of a previous owner at an engine that ignores
 * tokens. Not thread-safe.
 */
public final class EngineOrders {
    /** Time after which the connection of an order is closed. */
    public static final long ORDER_TIMEOUT_NANOS = 1_000_000_000L;

    private static final class Engine {
        EngineOrder mOrder;
        long mNotBeforeNanos;
        Optional<String> mReportedState = Optional.empty();
        boolean mFenced;
    }

    private final TreeMap<BackendServerId, Engine> mEngines = new TreeMap<>();

    /**
     * Starts managing a server that this router now owns.
     *
     * @param previousLeaseEndNanos time from which no previous owner holds a lease
     */
    public void onOwned(BackendServerId server, long previousLeaseEndNanos) {
        Engine engine = new Engine();
        engine.mNotBeforeNanos = previousLeaseEndNanos + ORDER_TIMEOUT_NANOS;
        mEngines.put(server, engine);
    }

    /** Stops managing a server; no more orders are sent to it. */
    public void onNotOwned(BackendServerId server) {
        mEngines.remove(server);
    }

    /** Sets the target of an owned server; ignores orders whose token is not newer. */
    public void onTarget(EngineOrder order) {
        Engine engine = mEngines.get(order.server());
        if (engine != null
                && (engine.mOrder == null || order.token().compareTo(engine.mOrder.token()) > 0)) {
            engine.mOrder = order;
            engine.mFenced = false;
        }
    }

    /** Records the state that an engine reports, in the same form as a target. */
    public void onReported(BackendServerId server, String state) {
        Engine engine = mEngines.get(server);
        if (engine != null) {
            engine.mReportedState = Optional.of(state);
        }
    }

    /** Records that an engine rejected the order because of a newer token. */
    public void onFenced(EngineOrder order) {
        Engine engine = mEngines.get(order.server());
        if (engine != null && order.equals(engine.mOrder)) {
            engine.mFenced = true;
        }
    }

    /**
     * Returns the orders to send now, in token order. Each one is retried after its timeout until
     * the engine reports its target.
     */
    public ImmutableList<EngineOrder> due(long nowNanos, long leaseValidUntilNanos) {
        ImmutableList.Builder<EngineOrder> due = ImmutableList.builder();
        for (Engine engine : mEngines.values()) {
            if (engine.mOrder != null && isDue(engine, nowNanos, leaseValidUntilNanos)) {
                due.add(engine.mOrder);
                // At most one attempt in flight; the next one follows after the timeout.
                engine.mNotBeforeNanos = nowNanos + ORDER_TIMEOUT_NANOS;
            }
        }
        return due.build().stream()
                .sorted((a, b) -> a.token().compareTo(b.token()))
                .collect(ImmutableList.toImmutableList());
    }

    private boolean isDue(Engine engine, long nowNanos, long leaseValidUntilNanos) {
        return nowNanos >= engine.mNotBeforeNanos
                && !engine.mFenced
                && !engine.mReportedState.equals(Optional.of(engine.mOrder.target()))
                && leaseOutlivesTimeout(nowNanos, leaseValidUntilNanos);
    }

    /**
     * Returns whether an order may be written. Must be called with a fresh time immediately before
     * the write, since the process may have been paused after {@link #due}.
     */
    public boolean mayWrite(EngineOrder order, long nowNanos, long leaseValidUntilNanos) {
        Engine engine = mEngines.get(order.server());
        return engine != null
                && order.equals(engine.mOrder)
                && !engine.mFenced
                && leaseOutlivesTimeout(nowNanos, leaseValidUntilNanos);
    }

    private static boolean leaseOutlivesTimeout(long nowNanos, long leaseValidUntilNanos) {
        return leaseValidUntilNanos > Long.MIN_VALUE
                && nowNanos < leaseValidUntilNanos - ORDER_TIMEOUT_NANOS;
    }
}
