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
 * Carries out what the admission decisions of this router ask for, as a router that needs slots and
 * as an owner that grants them.
 *
 * <p>Used on the event loop only. Messages of this router to itself are delivered through the loop,
 * so that no decision is entered while another one is under way.
 */
final class AdmissionDriver {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final RouterAdmission<RequestRun> mRouter;
    private final OwnerAdmission mOwner;
    private final EventLoop mLoop;
    private final FleetMetrics mMetrics;
    private final BiConsumer<VmId, Envelope> mSend;
    private final Consumer<PoolOffer> mPublish;

    /**
     * Creates a driver.
     *
     * @param send sends to a router, which may be this one
     * @param publish sends an offer to the routers that may use it
     */
    AdmissionDriver(
            RouterAdmission<RequestRun> router,
            OwnerAdmission owner,
            EventLoop loop,
            FleetMetrics metrics,
            BiConsumer<VmId, Envelope> send,
            Consumer<PoolOffer> publish) {
        mRouter = router;
        mOwner = owner;
        mLoop = loop;
        mMetrics = metrics;
        mSend = send;
        mPublish = publish;
    }

    /** Queues a request. */
    void offer(QueuedRequest<RequestRun> request) {
        run(mRouter.offer(request, now()));
    }

    /** Queues a request again whose attempt did not run or may run again. */
    void readmit(QueuedRequest<RequestRun> request) {
        run(mRouter.readmit(request, now()));
    }

    /** Returns whether any backend server of the pool is known. */
    boolean hasServers(PoolId pool) {
        return mRouter.hasServers(pool, now());
    }

    /** Removes a request that waits. */
    void cancel(QueuedRequest<RequestRun> request) {
        mRouter.cancel(request);
    }

    /** Charges what a running request has cost so far, in cost units. */
    void progress(Slot slot, double measured) {
        mRouter.onProgress(slot, measured);
    }

    /**
     * Returns a slot whose request ended after costing {@code measured} cost units.
     *
     * @param mayStillRun whether the server may run the request until it notices that it was given
     *     up
     */
    void ended(Slot slot, double measured, boolean mayStillRun) {
        run(
                mayStillRun
                        ? mRouter.onCancelled(slot, measured, now())
                        : mRouter.onEnded(slot, measured, now()));
    }

    /** Takes a message about slots; returns false if it is about something else. */
    boolean onMessage(Envelope message) {
        switch (message.getPayloadCase()) {
            case DEMAND -> runOwner(mOwner.onDemand(message.getDemand(), now()));
            case SLOT_RETURN -> runOwner(mOwner.onReturn(message.getSlotReturn(), now()));
            case RUNNING_REPORT -> runOwner(mOwner.onReport(message.getRunningReport(), now()));
            case SLOT_GRANT -> run(mRouter.onGrant(message.getSlotGrant(), now()));
            case SLOT_RECALL -> run(mRouter.onRecall(message.getSlotRecall()));
            case POOL_OFFER -> mRouter.onOffer(message.getPoolOffer(), now());
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Repeats what must be repeated; called every exchange round. */
    void tick() {
        runOwner(mOwner.tick(now()));
        run(mRouter.tick(now()));
    }

    /** Carries out actions of the router side. */
    void run(List<RouterAction<RequestRun>> actions) {
        for (RouterAction<RequestRun> action : actions) {
            if (action instanceof RouterAction.Start<RequestRun> s) {
                mLoop.execute(() -> s.request().request().onSlot(s.slot()));
            } else if (action instanceof RouterAction.Refuse<RequestRun> r) {
                mLoop.execute(() -> r.request().request().onRefused(r.reason()));
            } else if (action instanceof RouterAction.Cancel<RequestRun> c) {
                LOGGER.atInfo().log("event=slot_recalled server=%s", c.slot().server());
                mMetrics.countEvent("slot_recalled");
                mLoop.execute(() -> c.request().request().onRecalled());
            } else if (action instanceof RouterAction.Send<RequestRun> s) {
                mSend.accept(s.to(), s.message());
            }
        }
    }

    /** Carries out actions of the owner side. */
    void runOwner(List<OwnerAction> actions) {
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
