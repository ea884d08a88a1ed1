package org.jacinthwharf.version;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.TreeMap;
import org.jacinthwharf.id.BackendServerId;

/**
 * Orders of one owner router to the engines that it owns.
 *
 * <p>Invariants: an order is sent only while the lease outlives its timeout; a new owner sends its
 * first order when no order of the previous owner can still be under way; an order with an older
 * token than one seen is never sent; an engine that reports another state than its target gets the
 * order again, which also undoes a late write of a previous owner at an engine that ignores tokens.
 * Not thread-safe.
 */
public final class EngineOrders {
    /** Time after which the connection of an order is closed. */
    public static final long ORDER_TIMEOUT_NANOS = 1_000_000_000L;

    private static final class Engine {
        EngineOrder mOrder;
        long mNotBeforeNanos;
        Optional<String> mReported = Optional.empty();
        boolean mFenced;
    }

    private final TreeMap<BackendServerId, Engine> mEngines = new TreeMap<>();

    /**
     * Takes over a server.
     *
     * @param previousLapsedAtNanos time from which no earlier owner holds a lease
     */
    public void onOwned(BackendServerId server, long previousLapsedAtNanos) {
        Engine engine = new Engine();
        engine.mNotBeforeNanos = previousLapsedAtNanos + ORDER_TIMEOUT_NANOS;
        mEngines.put(server, engine);
    }

    /** Gives up a server; nothing is sent to it any more. */
    public void onNotOwned(BackendServerId server) {
        mEngines.remove(server);
    }

    /** Sets the target of a server that this router owns; an older token than known is dropped. */
    public void onTarget(EngineOrder order) {
        Engine engine = mEngines.get(order.server());
        if (engine != null
                && (engine.mOrder == null || order.token().compareTo(engine.mOrder.token()) > 0)) {
            engine.mOrder = order;
            engine.mFenced = false;
        }
    }

    /** Notes the state that an engine reports, in the form of a target. */
    public void onReported(BackendServerId server, String state) {
        Engine engine = mEngines.get(server);
        if (engine != null) {
            engine.mReported = Optional.of(state);
        }
    }

    /** Notes that an engine refused the order since it knows a newer token. */
    public void onFenced(EngineOrder order) {
        Engine engine = mEngines.get(order.server());
        if (engine != null && order.equals(engine.mOrder)) {
            engine.mFenced = true;
        }
    }

    /**
     * Returns the orders to send now, in token order; each may be sent again until the engine
     * reports its target.
     */
    public ImmutableList<EngineOrder> due(long nowNanos, long leaseValidUntilNanos) {
        ImmutableList.Builder<EngineOrder> due = ImmutableList.builder();
        for (Engine engine : mEngines.values()) {
            if (engine.mOrder != null && isDue(engine, nowNanos, leaseValidUntilNanos)) {
                due.add(engine.mOrder);
                // One attempt at a time: the next one follows when this one has timed out.
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
                && !engine.mReported.equals(Optional.of(engine.mOrder.target()))
                && outlivesTimeout(nowNanos, leaseValidUntilNanos);
    }

    /**
     * Returns whether an order may be written; to be called with a fresh time right before the
     * write, since the process may have been frozen after {@link #due}.
     */
    public boolean mayWrite(EngineOrder order, long nowNanos, long leaseValidUntilNanos) {
        Engine engine = mEngines.get(order.server());
        return engine != null
                && order.equals(engine.mOrder)
                && !engine.mFenced
                && outlivesTimeout(nowNanos, leaseValidUntilNanos);
    }

    private static boolean outlivesTimeout(long nowNanos, long leaseValidUntilNanos) {
        return leaseValidUntilNanos > Long.MIN_VALUE
                && nowNanos < leaseValidUntilNanos - ORDER_TIMEOUT_NANOS;
    }
}
