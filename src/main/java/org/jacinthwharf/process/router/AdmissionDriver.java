package org.jacinthwharf.process.router;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.request.admission.OwnerAction;
import org.jacinthwharf.request.admission.OwnerAdmission;
import org.jacinthwharf.request.admission.QueuedRequest;
import org.jacinthwharf.request.admission.RouterAction;
import org.jacinthwharf.request.admission.RouterAdmission;
import org.jacinthwharf.request.admission.Slot;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.PoolOffer;

/**
 * Executes the actions of admission control, both for the router side, which requests slots, and
 * for the owner side, which grants them.
 *
 * <p>Used on the event loop only. Messages of this router to itself are delivered through the event
 * loop, so that decisions are never reentered.
 */
final class AdmissionDriver {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final RouterAdmission<RequestExecution> mRouterAdmission;
    private final OwnerAdmission mOwnerAdmission;
    private final EventLoop mLoop;
    private final FleetMetrics mMetrics;
    private final BiConsumer<VmId, Envelope> mSend;
    private final Consumer<PoolOffer> mPublish;

    /**
     * Creates a driver.
     *
     * @param send sends a message to a router, which may be this one
     * @param publish sends a pool offer to the routers that may use it
     */
    AdmissionDriver(
            RouterAdmission<RequestExecution> routerAdmission,
            OwnerAdmission ownerAdmission,
            EventLoop loop,
            FleetMetrics metrics,
            BiConsumer<VmId, Envelope> send,
            Consumer<PoolOffer> publish) {
        mRouterAdmission = routerAdmission;
        mOwnerAdmission = ownerAdmission;
        mLoop = loop;
        mMetrics = metrics;
        mSend = send;
        mPublish = publish;
    }

    /** Queues a request. */
    void submit(QueuedRequest<RequestExecution> request) {
        executeRouterActions(mRouterAdmission.submit(request, now()));
    }

    /** Queues a request again for a retry. */
    void readmit(QueuedRequest<RequestExecution> request) {
        executeRouterActions(mRouterAdmission.readmit(request, now()));
    }

    /** Returns whether any owner offers backend servers of the pool. */
    boolean hasServers(PoolId pool) {
        return mRouterAdmission.hasServers(pool, now());
    }

    /** Removes a request from the queue. */
    void cancel(QueuedRequest<RequestExecution> request) {
        mRouterAdmission.cancel(request);
    }

    /** Charges the cost of a running request so far, in cost units. */
    void onProgress(Slot slot, double measured) {
        mRouterAdmission.onProgress(slot, measured);
    }

    /**
     * Returns the slot of an attempt that ended.
     *
     * @param measured cost of the request in cost units
     * @param mayStillRun whether the server may continue to run the request until it detects the
     *     cancellation
     */
    void onEnded(Slot slot, double measured, boolean mayStillRun) {
        executeRouterActions(
                mayStillRun
                        ? mRouterAdmission.onCancelled(slot, measured, now())
                        : mRouterAdmission.onEnded(slot, measured, now()));
    }

    /** Handles an admission message; returns false for any other message. */
    boolean onMessage(Envelope message) {
        switch (message.getPayloadCase()) {
            case DEMAND ->
                    executeOwnerActions(mOwnerAdmission.onDemand(message.getDemand(), now()));
            case SLOT_RETURN ->
                    executeOwnerActions(mOwnerAdmission.onReturn(message.getSlotReturn(), now()));
            case RUNNING_REPORT ->
                    executeOwnerActions(
                            mOwnerAdmission.onReport(message.getRunningReport(), now()));
            case SLOT_GRANT ->
                    executeRouterActions(mRouterAdmission.onGrant(message.getSlotGrant(), now()));
            case SLOT_RECALL ->
                    executeRouterActions(mRouterAdmission.onRecall(message.getSlotRecall()));
            case POOL_OFFER -> mRouterAdmission.onOffer(message.getPoolOffer(), now());
            default -> {
                return false;
            }
        }
        return true;
    }

    /**
     * Expires queued requests, grants slots, and resends offers, demand and reports; called every
     * exchange interval.
     */
    void tick() {
        executeOwnerActions(mOwnerAdmission.tick(now()));
        executeRouterActions(mRouterAdmission.tick(now()));
    }

    /** Executes actions of the router side. */
    void executeRouterActions(List<RouterAction<RequestExecution>> actions) {
        for (RouterAction<RequestExecution> action : actions) {
            if (action instanceof RouterAction.Start<RequestExecution> s) {
                mLoop.execute(() -> s.request().request().onSlot(s.slot()));
            } else if (action instanceof RouterAction.Refuse<RequestExecution> r) {
                mLoop.execute(() -> r.request().request().onRefused(r.reason()));
            } else if (action instanceof RouterAction.Cancel<RequestExecution> c) {
                LOGGER.atInfo().log("event=slot_recalled server=%s", c.slot().server());
                mMetrics.countEvent("slot_recalled");
                mLoop.execute(() -> c.request().request().onRecalled());
            } else if (action instanceof RouterAction.Send<RequestExecution> s) {
                mSend.accept(s.to(), s.message());
            }
        }
    }

    /** Executes actions of the owner side. */
    void executeOwnerActions(List<OwnerAction> actions) {
        for (OwnerAction action : actions) {
            if (action instanceof OwnerAction.Send s) {
                mSend.accept(s.to(), s.message());
            } else if (action instanceof OwnerAction.Publish p) {
                mPublish.accept(p.offer());
            }
        }
    }

    private long now() {
        return mLoop.nowNanos();
    }
}
