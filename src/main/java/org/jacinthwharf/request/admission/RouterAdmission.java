package org.jacinthwharf.request.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.PoolOffer;
import org.jacinthwharf.wire.generated.SlotGrant;
import org.jacinthwharf.wire.generated.SlotRecall;
import org.jacinthwharf.wire.generated.SlotReturn;

/**
 * Decides which request of a router starts next, and at which backend server.
 *
 * <p>Every event handler returns the actions to take, in order. Invariants: a request starts at
 * most once each time that it is queued, with a slot that an owner granted for a demand sent at
 * most 1 s ago, or, without a view, with one of {@link StandaloneSlots}; each granted slot is used
 * or returned; the customer with the smallest counter among those waiting in the pool is served
 * first. Not thread-safe.
 */
public final class RouterAdmission<R> {
    private record SlotKey(BackendServerId server, long number) {}

    private final RouterIncarnation mSelf;
    private final ServiceLedger mLedger;
    private final RequestQueues<R> mQueues;
    private final RunningRequests<R> mRunning = new RunningRequests<>();
    private final StandaloneSlots mStandaloneSlots;
    private final DemandSender<R> mDemandSender;
    private final Predicate<R> mIdempotent;
    private final RequestSelector<R> mSelector;
    private final Map<BackendServerId, VmId> mOwners = new HashMap<>();
    private final Map<VmId, OwnerMessageTracker> mTrackers = new HashMap<>();
    private final RunningReports<R> mReports;
    // Slots of recently received grants, with the time at which they expire here: a duplicate grant
    // must not start a second request.
    private final Map<SlotKey, Long> mSeenSlots = new HashMap<>();
    private boolean mHasView;
    private long mEpoch;
    private long mNextReportNanos = Long.MIN_VALUE;

    /**
     * Creates the admission control of a router without a view; of the requests of a customer, the
     * oldest starts first.
     */
    public RouterAdmission(
            RouterIncarnation self,
            FailureDomainId failureDomain,
            String region,
            int configuredRouters,
            QueueLimits limits,
            ServiceLedger ledger,
            Predicate<R> idempotent) {
        this(
                self,
                failureDomain,
                region,
                configuredRouters,
                limits,
                ledger,
                idempotent,
                RequestSelector.oldest());
    }

    /**
     * Creates the admission control of a router without a view.
     *
     * @param configuredRouters number of routers in the settings of the failure domain
     * @param idempotent whether a request may be cancelled and retried
     * @param selector selects among the requests of the customer to serve
     */
    public RouterAdmission(
            RouterIncarnation self,
            FailureDomainId failureDomain,
            String region,
            int configuredRouters,
            QueueLimits limits,
            ServiceLedger ledger,
            Predicate<R> idempotent,
            RequestSelector<R> selector) {
        mSelf = self;
        mLedger = ledger;
        mQueues = new RequestQueues<>(limits, ledger);
        mStandaloneSlots = new StandaloneSlots(self, configuredRouters);
        mDemandSender =
                new DemandSender<>(
                        self, new OfferTable(failureDomain, region), mQueues, this::tracker);
        mReports = new RunningReports<>(self, mRunning, this::ownerOf, this::tracker);
        mIdempotent = idempotent;
        mSelector = selector;
    }

    /**
     * Queues a request, or refuses it if a queue limit is reached or its deadline has passed or
     * cannot be met.
     */
    public List<RouterAction<R>> submit(QueuedRequest<R> request, long nowNanos) {
        List<RouterAction<R>> actions = new ArrayList<>();
        Optional<RefusalReason> refusal = mQueues.enqueue(request, nowNanos);
        if (refusal.isPresent()) {
            actions.add(new RouterAction.Refuse<>(request, refusal.get()));
            return actions;
        }
        startStandalone(request.pool(), nowNanos, actions);
        mDemandSender.onArrival(request.pool(), nowNanos, actions);
        return actions;
    }

    /**
     * Requeues an admitted request for another attempt, ahead of the other requests of its
     * customer.
     */
    public List<RouterAction<R>> readmit(QueuedRequest<R> request, long nowNanos) {
        List<RouterAction<R>> actions = new ArrayList<>();
        mQueues.readmit(request, nowNanos);
        startStandalone(request.pool(), nowNanos, actions);
        mDemandSender.onArrival(request.pool(), nowNanos, actions);
        return actions;
    }

    /** Removes a request whose caller disconnected; returns whether it was waiting. */
    public boolean cancel(QueuedRequest<R> request) {
        return mQueues.remove(request);
    }

    /**
     * Handles a grant: starts requests, and returns the slots that have expired or are not needed.
     * A message with {@code report_wanted} grants nothing: it closes grant numbers and requests a
     * report of the running requests.
     */
    public List<RouterAction<R>> onGrant(SlotGrant grant, long nowNanos) {
        List<RouterAction<R>> actions = new ArrayList<>();
        Optional<VmId> owner = VmId.parse(grant.getOwner());
        if (owner.isPresent() && grant.getReportWanted()) {
            tracker(owner.get()).rejectGrantsUpTo(grant.getOwnerIncarnation(), grant.getNumber());
            long closed = mDemandSender.closedSequence(nowNanos);
            Envelope report = mReports.buildFor(mEpoch, closed, owner.get());
            actions.add(new RouterAction.Send<>(owner.get(), report));
            return actions;
        }
        Optional<BackendServerId> server = BackendServerId.parse(grant.getServer());
        Optional<PoolId> pool = PoolMessages.parse(grant.getPool());
        if (owner.isEmpty() || server.isEmpty() || pool.isEmpty()) {
            return actions;
        }
        boolean isNew =
                tracker(owner.get()).acceptGrant(grant.getOwnerIncarnation(), grant.getNumber());
        var usableUntil = mDemandSender.usableUntil(grant.getDemandSequence(), nowNanos);
        boolean usable =
                isNew
                        && usableUntil.isPresent()
                        && !mDemandSender.isOutOfService(grant.getFailureDomain())
                        && (mHasView || !grant.getCold());
        List<Long> unused = new ArrayList<>();
        for (long number : grant.getSlotsList()) {
            SlotKey key = new SlotKey(server.get(), number);
            long expiresNanos = nowNanos + AdmissionDurations.GRANT_VALIDITY;
            if (mRunning.contains(server.get(), number)
                    || usableUntil.isPresent() && mSeenSlots.put(key, expiresNanos) != null) {
                continue;
            }
            Optional<QueuedRequest<R>> next =
                    usable
                            ? nextRequest(pool.get(), server.get(), nowNanos, actions)
                            : Optional.empty();
            if (next.isEmpty()) {
                unused.add(number);
                continue;
            }
            Slot slot =
                    new Slot(
                            server.get(),
                            grant.getServerIncarnation(),
                            grant.getAddress(),
                            pool.get(),
                            number,
                            owner,
                            grant.getCold(),
                            usableUntil.getAsLong());
            start(next.get(), slot, actions);
        }
        if (!unused.isEmpty()) {
            boolean mustNotUseOwner = isNew && usableUntil.isPresent() && !usable;
            if (mustNotUseOwner) {
                // The failure domain is out of service, or the slots are cold and this router has
                // no view. Withdraws the demand until the next exchange interval: otherwise the
                // owner would grant the slots to this router again at once, in an endless loop.
                mDemandSender.withdraw(pool.get(), owner.get(), nowNanos, actions);
            } else {
                // Sends the current demand before the return, so that the owner does not grant the
                // returned slots to this router again.
                mDemandSender.send(pool.get(), owner.get(), nowNanos, actions);
            }
            sendReturn(owner.get(), server.get(), unused, false, actions);
        }
        return actions;
    }

    /**
     * Charges a running request for its output; {@code measured} is the cost so far in cost units.
     */
    public void onProgress(Slot slot, double measured) {
        mRunning.get(slot).ifPresent(running -> running.charge().progress(measured));
    }

    /** Handles the end of a request: settles its cost and returns the slot. */
    public List<RouterAction<R>> onEnded(Slot slot, double measured, long nowNanos) {
        return onEnded(slot, measured, false, nowNanos);
    }

    /** Handles a cancelled request, which the server may run until it detects the cancellation. */
    public List<RouterAction<R>> onCancelled(Slot slot, double measured, long nowNanos) {
        return onEnded(slot, measured, true, nowNanos);
    }

    private List<RouterAction<R>> onEnded(
            Slot slot, double measured, boolean cancelled, long nowNanos) {
        List<RouterAction<R>> actions = new ArrayList<>();
        Optional<RunningRequests.Running<R>> running = mRunning.get(slot);
        if (running.isEmpty()) {
            return actions;
        }
        running.get().charge().finish(measured);
        mRunning.remove(slot);
        ownerOf(slot)
                .ifPresent(
                        to -> {
                            List<Long> slots = List.of(slot.number());
                            sendReturn(to, slot.server(), slots, cancelled, actions);
                            mDemandSender.onReturned(slot.pool(), to);
                        });
        startStandalone(slot.pool(), nowNanos, actions);
        return actions;
    }

    /**
     * Handles a recall: cancels the most recently started idempotent requests. Requests cancelled
     * earlier that have not ended yet count towards the number, since owners repeat a recall.
     */
    public List<RouterAction<R>> onRecall(SlotRecall recall) {
        List<RouterAction<R>> actions = new ArrayList<>();
        Optional<BackendServerId> server = BackendServerId.parse(recall.getServer());
        if (server.isEmpty()) {
            return actions;
        }
        List<RunningRequests.Running<R>> running = new ArrayList<>(mRunning.atServer(server.get()));
        int remaining = recall.getCount();
        for (int i = running.size() - 1; i >= 0 && remaining > 0; i--) {
            RunningRequests.Running<R> candidate = running.get(i);
            if (mIdempotent.test(candidate.request().request())) {
                remaining--;
                if (mRunning.markRecalled(candidate.slot())) {
                    actions.add(new RouterAction.Cancel<>(candidate.request(), candidate.slot()));
                }
            }
        }
        return actions;
    }

    /** Handles an owner's offer. */
    public void onOffer(PoolOffer offer, long nowNanos) {
        mDemandSender.onOffer(offer, nowNanos);
    }

    /** Sets whether a failure domain is out of service. */
    public void setOutOfService(FailureDomainId domain, boolean outOfService) {
        mDemandSender.setOutOfService(domain, outOfService);
    }

    /**
     * Handles a view of this router's failure domain, under which this router holds a valid lease.
     *
     * @param owners the owner of each backend server of the failure domain
     */
    public List<RouterAction<R>> onView(
            long epoch, Map<BackendServerId, VmId> owners, long nowNanos) {
        mHasView = true;
        mEpoch = epoch;
        mOwners.putAll(owners);
        List<RouterAction<R>> actions = new ArrayList<>();
        sendReports(nowNanos, new HashSet<>(owners.values()), actions);
        return actions;
    }

    /** Handles the expiry of the last lease: {@link StandaloneSlots} applies from now on. */
    public List<RouterAction<R>> onViewLost(long nowNanos) {
        mHasView = false;
        List<RouterAction<R>> actions = new ArrayList<>();
        mQueues.pools().forEach(pool -> startStandalone(pool, nowNanos, actions));
        return actions;
    }

    /** Updates a server of this router's failure domain, for {@link StandaloneSlots}. */
    public void onServer(ServerInfo server) {
        mStandaloneSlots.onServer(server);
    }

    /** Removes a server. */
    public void onServerRemoved(BackendServerId server) {
        mStandaloneSlots.onServerRemoved(server);
        mOwners.remove(server);
    }

    /**
     * Expires requests and resends demands and reports; must be called once per exchange interval.
     */
    public List<RouterAction<R>> tick(long nowNanos) {
        List<RouterAction<R>> actions = new ArrayList<>();
        refuseExpired(mQueues.expire(nowNanos), actions);
        mSeenSlots.values().removeIf(expiresNanos -> expiresNanos < nowNanos);
        List.copyOf(mQueues.pools()).forEach(pool -> startStandalone(pool, nowNanos, actions));
        mDemandSender.sendAll(nowNanos, actions);
        if (nowNanos >= mNextReportNanos) {
            sendReports(nowNanos, mDemandSender.rotateRecentOwners(), actions);
        }
        return actions;
    }

    /** Returns whether any owner offers servers of the pool, with or without free slots. */
    public boolean hasServers(PoolId pool, long nowNanos) {
        return mDemandSender.hasServers(pool, nowNanos);
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        return mQueues.waiting();
    }

    /** Returns the number of requests that this router runs at a server. */
    public int running(BackendServerId server) {
        return mRunning.count(server);
    }

    private void startStandalone(PoolId pool, long nowNanos, List<RouterAction<R>> actions) {
        while (!mHasView && mQueues.waiting(pool) > 0) {
            Optional<Slot> slot = mStandaloneSlots.findSlot(pool, mRunning::count, nowNanos);
            if (slot.isEmpty()) {
                return;
            }
            nextRequest(pool, slot.get().server(), nowNanos, actions)
                    .ifPresent(r -> start(r, slot.get(), actions));
        }
    }

    private Optional<QueuedRequest<R>> nextRequest(
            PoolId pool, BackendServerId server, long nowNanos, List<RouterAction<R>> actions) {
        List<QueuedRequest<R>> expired = new ArrayList<>();
        Optional<QueuedRequest<R>> next =
                mQueues.next(
                        pool,
                        nowNanos,
                        candidates -> mSelector.select(server, candidates, nowNanos),
                        expired);
        refuseExpired(expired, actions);
        return next;
    }

    private void refuseExpired(List<QueuedRequest<R>> expired, List<RouterAction<R>> actions) {
        expired.forEach(
                r -> actions.add(new RouterAction.Refuse<>(r, RefusalReason.DEADLINE_PASSED)));
    }

    private void start(QueuedRequest<R> request, Slot slot, List<RouterAction<R>> actions) {
        RequestCharge charge = RequestCharge.start(mLedger, request.customer(), request.estimate());
        mRunning.add(new RunningRequests.Running<>(request, slot, charge));
        actions.add(new RouterAction.Start<>(request, slot));
    }

    private OwnerMessageTracker tracker(VmId owner) {
        return mTrackers.computeIfAbsent(owner, o -> new OwnerMessageTracker());
    }

    private Optional<VmId> ownerOf(Slot slot) {
        return Optional.ofNullable(mOwners.get(slot.server())).or(slot::owner);
    }

    private void sendReturn(
            VmId to,
            BackendServerId server,
            List<Long> slots,
            boolean cancelled,
            List<RouterAction<R>> actions) {
        OwnerMessageTracker tracker = tracker(to);
        SlotReturn message =
                SlotReturn.newBuilder()
                        .setRouter(mSelf.vm().value())
                        .setRouterIncarnation(mSelf.incarnation())
                        .setServer(server.value())
                        .addAllSlots(slots)
                        .setCancelled(cancelled)
                        .setNumber(tracker.nextReturn())
                        .setGrantsSeen(tracker.grantsSeen())
                        .build();
        Envelope envelope = Envelope.newBuilder().setSlotReturn(message).build();
        actions.add(new RouterAction.Send<>(to, envelope));
    }

    private void sendReports(long nowNanos, Set<VmId> to, List<RouterAction<R>> actions) {
        mNextReportNanos = nowNanos + AdmissionDurations.RESEND_INTERVAL;
        mReports.buildAll(mEpoch, mDemandSender.closedSequence(nowNanos), to)
                .forEach(
                        (owner, envelope) -> actions.add(new RouterAction.Send<>(owner, envelope)));
    }
}
