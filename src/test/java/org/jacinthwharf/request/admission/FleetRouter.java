package org.jacinthwharf.request.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.ServiceTotals;

/**
 * A simulated router process of a {@link Fleet}, with router and owner admission and injected
 * faults.
 */
final class FleetRouter {
    final Fleet mFleet;
    final VmId mVm;
    final FailureDomainId mDomain;
    final String mRegion;
    final RouterIncarnation mSelf;
    final ServiceLedger mLedger;
    final RouterAdmission<Fleet.Job> mAdmission;
    final OwnerAdmission mOwner;
    final CostEstimator mCosts = new CostEstimator(10);
    final Map<BackendServerId, Long> mOwned = new HashMap<>();
    final Map<CustomerId, Integer> mWaiting = new HashMap<>();
    final Map<Fleet.Job, Long> mArrivals = new HashMap<>();
    final Map<CustomerId, Long> mLongestWait = new HashMap<>();
    int mPartition;
    boolean mAlive = true;
    boolean mFrozen;

    /**
     * If false, its lease is not renewed and it receives no views; other routers can still reach
     * it.
     */
    boolean mReachesCoordinator = true;

    boolean mRecallable = true;
    private final List<Runnable> mInbox = new ArrayList<>();

    FleetRouter(
            Fleet fleet,
            RouterIncarnation self,
            FailureDomainId domain,
            String region,
            int configuredRouters) {
        mFleet = fleet;
        mVm = self.vm();
        mSelf = self;
        mDomain = domain;
        mRegion = region;
        mLedger = new ServiceLedger(self.toString(), 200 * Fleet.MILLI);
        mAdmission =
                new RouterAdmission<>(
                        self,
                        domain,
                        region,
                        configuredRouters,
                        new QueueLimits(200, 5_000),
                        mLedger,
                        job -> mRecallable);
        mOwner = new OwnerAdmission(self, domain, region);
    }

    void start() {
        mFleet.after(
                (long) (mFleet.mRandom.nextDouble() * 200 * Fleet.MILLI),
                () -> mFleet.every(200 * Fleet.MILLI, () -> receive(this::tick, this)));
        mFleet.every(500 * Fleet.MILLI, () -> receive(this::renewLease, this));
    }

    private void tick() {
        execute(mAdmission.tick(mFleet.mNow));
        executeOwner(mOwner.tick(mFleet.mNow));
        ServiceTotals totals = mLedger.nextTotals();
        for (FleetRouter other : mFleet.mRouters.values()) {
            if (other != this && mFleet.mRandom.nextDouble() >= mFleet.mLoss) {
                // The coordinator relays totals at its own interval.
                long relayNanos = (long) (mFleet.mRandom.nextDouble() * 200 * Fleet.MILLI);
                mFleet.after(
                        relayNanos,
                        () -> other.receive(() -> other.mLedger.merge(totals, mFleet.mNow), this));
            }
        }
    }

    void renewLease() {
        if (mPartition == 0 && mReachesCoordinator) {
            mOwner.onLease(mFleet.mEpoch, mFleet.mNow + Fleet.LEASE);
        }
    }

    /**
     * Delivers a task to this process: without delay if it comes from this process, queued while
     * frozen, dropped if this process is dead or partitioned from the sender.
     */
    void receive(Runnable task, FleetRouter from) {
        mFleet.after(
                from == this ? 0 : mFleet.delay(),
                () -> {
                    if (!mAlive || mPartition != from.mPartition) {
                        return;
                    }
                    if (mFrozen) {
                        mInbox.add(task);
                    } else {
                        task.run();
                    }
                });
    }

    void freezeFor(long nanos) {
        mFrozen = true;
        mFleet.after(
                nanos,
                () -> {
                    mFrozen = false;
                    // After a freeze, queued messages are handled first.
                    List<Runnable> inbox = List.copyOf(mInbox);
                    mInbox.clear();
                    inbox.forEach(Runnable::run);
                });
    }

    void offer(CustomerId customer, Fleet.Job job, OptionalDouble hint, long timeout) {
        if (!mAlive || mFrozen) {
            return;
        }
        double estimate = mCosts.estimate(customer, "route", hint);
        mArrivals.put(job, mFleet.mNow);
        mWaiting.merge(customer, 1, Integer::sum);
        execute(
                mAdmission.submit(
                        new QueuedRequest<>(
                                customer,
                                Fleet.POOL,
                                estimate,
                                mFleet.mNow,
                                mFleet.mNow + timeout,
                                job),
                        mFleet.mNow));
    }

    void deliver(Envelope message) {
        long now = mFleet.mNow;
        switch (message.getPayloadCase()) {
            case DEMAND -> executeOwner(mOwner.onDemand(message.getDemand(), now));
            case SLOT_RETURN -> executeOwner(mOwner.onReturn(message.getSlotReturn(), now));
            case RUNNING_REPORT -> executeOwner(mOwner.onReport(message.getRunningReport(), now));
            case SLOT_GRANT -> execute(mAdmission.onGrant(message.getSlotGrant(), now));
            case SLOT_RECALL -> execute(mAdmission.onRecall(message.getSlotRecall()));
            case POOL_OFFER -> mAdmission.onOffer(message.getPoolOffer(), now);
            default -> throw new AssertionError(message.getPayloadCase());
        }
    }

    void execute(List<RouterAction<Fleet.Job>> actions) {
        for (RouterAction<Fleet.Job> action : actions) {
            if (action instanceof RouterAction.Send<Fleet.Job> send) {
                mFleet.send(this, send.to(), send.message());
            } else if (action instanceof RouterAction.Start<Fleet.Job> start) {
                QueuedRequest<Fleet.Job> request = start.request();
                removeWaiting(request);
                mFleet.mOutcomes.add(
                        "start " + request.request().name() + " at " + start.slot().server());
                mLongestWait.merge(
                        request.customer(),
                        mFleet.mNow - mArrivals.remove(request.request()),
                        Math::max);
                FleetServer server = mFleet.mServers.get(start.slot().server());
                mFleet.after(mFleet.delay(), () -> server.run(this, request, start.slot()));
            } else if (action instanceof RouterAction.Refuse<Fleet.Job> refuse) {
                removeWaiting(refuse.request());
                mArrivals.remove(refuse.request().request());
                mFleet.mOutcomes.add(
                        "refuse "
                                + refuse.request().request().name()
                                + " "
                                + refuse.reason().code());
            } else if (action instanceof RouterAction.Cancel<Fleet.Job> cancel) {
                mFleet.mOutcomes.add("cancel " + cancel.request().request().name());
            }
        }
    }

    private void removeWaiting(QueuedRequest<Fleet.Job> request) {
        mWaiting.merge(request.customer(), -1, Integer::sum);
    }

    void executeOwner(List<OwnerAction> actions) {
        for (OwnerAction action : actions) {
            if (action instanceof OwnerAction.Send send) {
                mFleet.send(this, send.to(), send.message());
            } else if (action instanceof OwnerAction.Publish publish) {
                Envelope offer = Envelope.newBuilder().setPoolOffer(publish.offer()).build();
                mFleet.mRouters.keySet().forEach(to -> mFleet.send(this, to, offer));
            }
        }
    }

    void onEnded(QueuedRequest<Fleet.Job> request, Slot slot) {
        mCosts.record(request.customer(), "route", request.request().cost());
        execute(mAdmission.onEnded(slot, request.request().cost(), mFleet.mNow));
    }
}
