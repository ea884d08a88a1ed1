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
 * Decides in one router which request starts next, and where.
 *
 * <p>Every event returns the actions to take, in order. Invariants: a request starts at most once
 * per admission, with a slot that an owner granted for a demand sent at most 1 s ago, or without a
 * view under {@link StandaloneSlots}; each granted slot is started or returned; the customer with
 * the smallest counter among those waiting in the pool is served first. Not thread-safe.
 */
public final class RouterAdmission<R> {
    private record SlotKey(BackendServerId server, long number) {}

    private final RouterIncarnation mSelf;
    private final ServiceLedger mLedger;
    private final RequestQueues<R> mQueues;
    private final RunningRequests<R> mRunning = new RunningRequests<>();
    private final StandaloneSlots mStandalone;
    private final DemandSender<R> mDemand;
    private final Predicate<R> mIdempotent;
    private final RequestChoice<R> mChoice;
    private final Map<BackendServerId, VmId> mOwners = new HashMap<>();
    private final Map<VmId, OwnerContact> mContacts = new HashMap<>();
    private final RunningReports<R> mReports;
    // Slots seen in grants of the last grant use limit, with the time after which they are
    // forgotten: a repeated grant must not start a second request.
    private final Map<SlotKey, Long> mSeen = new HashMap<>();
    private boolean mHasView;
    private long mEpoch;
    private long mNextReportNanos = Long.MIN_VALUE;

    /** Creates the admission of a router without a view that starts the oldest request first. */
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
                RequestChoice.oldest());
    }

    /**
     * Creates the admission of a router without a view.
     *
     * @param configuredRouters number of routers in the settings of the failure domain
     * @param idempotent whether a request may be cancelled and run again
     * @param choice chooses among the requests of the customer to serve
     */
    public RouterAdmission(
            RouterIncarnation self,
            FailureDomainId failureDomain,
            String region,
            int configuredRouters,
            QueueLimits limits,
            ServiceLedger ledger,
            Predicate<R> idempotent,
            RequestChoice<R> choice) {
        mSelf = self;
        mLedger = ledger;
        mQueues = new RequestQueues<>(limits, ledger);
        mStandalone = new StandaloneSlots(self, configuredRouters);
        mDemand =
                new DemandSender<>(
                        self, new OfferTable(failureDomain, region), mQueues, this::contact);
        mReports = new RunningReports<>(self, mRunning, this::ownerOf, this::contact);
        mIdempotent = idempotent;
        mChoice = choice;
    }

    /** Queues a request, or refuses it when a limit is reached or its deadline is. */
    public List<RouterAction<R>> offer(QueuedRequest<R> request, long nowNanos) {
        List<RouterAction<R>> actions = new ArrayList<>();
        Optional<RefusalReason> refusal = mQueues.offer(request, nowNanos);
        if (refusal.isPresent()) {
            actions.add(new RouterAction.Refuse<>(request, refusal.get()));
            return actions;
        }
        startStandalone(request.pool(), nowNanos, actions);
        mDemand.onArrival(request.pool(), nowNanos, actions);
        return actions;
    }

    /** Queues a request again whose attempt did not run, in front of its customer's others. */
    public List<RouterAction<R>> readmit(QueuedRequest<R> request, long nowNanos) {
        List<RouterAction<R>> actions = new ArrayList<>();
        mQueues.readmit(request, nowNanos);
        startStandalone(request.pool(), nowNanos, actions);
        mDemand.onArrival(request.pool(), nowNanos, actions);
        return actions;
    }

    /** Removes a waiting request whose caller left; returns whether it was waiting. */
    public boolean cancel(QueuedRequest<R> request) {
        return mQueues.remove(request);
    }

    /** Handles a grant: starts requests, and returns the slots that are late or not needed. */
    public List<RouterAction<R>> onGrant(SlotGrant grant, long nowNanos) {
        List<RouterAction<R>> actions = new ArrayList<>();
        Optional<VmId> owner = VmId.parse(grant.getOwner());
        if (owner.isPresent() && grant.getReportWanted()) {
            contact(owner.get()).close(grant.getOwnerIncarnation(), grant.getNumber());
            long closed = mDemand.closedSequence(nowNanos);
            Envelope report = mReports.one(mEpoch, closed, owner.get());
            actions.add(new RouterAction.Send<>(owner.get(), report));
            return actions;
        }
        Optional<BackendServerId> server = BackendServerId.parse(grant.getServer());
        Optional<PoolId> pool = Pools.parse(grant.getPool());
        if (owner.isEmpty() || server.isEmpty() || pool.isEmpty()) {
            return actions;
        }
        boolean open = contact(owner.get()).accept(grant.getOwnerIncarnation(), grant.getNumber());
        var usableUntil = mDemand.usableUntil(grant.getDemandSequence(), nowNanos);
        boolean usable =
                open
                        && usableUntil.isPresent()
                        && !mDemand.isOut(grant.getFailureDomain())
                        && (mHasView || !grant.getCold());
        List<Long> unused = new ArrayList<>();
        for (long number : grant.getSlotsList()) {
            SlotKey key = new SlotKey(server.get(), number);
            long forgetAt = nowNanos + AdmissionTimes.GRANT_USE_LIMIT;
            if (mRunning.contains(server.get(), number)
                    || usableUntil.isPresent() && mSeen.put(key, forgetAt) != null) {
                continue;
            }
            Optional<QueuedRequest<R>> next =
                    usable ? next(pool.get(), server.get(), nowNanos, actions) : Optional.empty();
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
            // The demand goes first, so that the owner does not grant the slot here again. While
            // this router may not use the owner's slots it withdraws its demand until the next
            // round; otherwise grant and return would follow each other without end.
            boolean refused = open && usableUntil.isPresent() && !usable;
            if (refused) {
                mDemand.withdraw(pool.get(), owner.get(), nowNanos, actions);
            } else {
                mDemand.send(pool.get(), owner.get(), nowNanos, actions);
            }
            sendReturn(owner.get(), server.get(), unused, false, actions);
        }
        return actions;
    }

    /** Charges output as it passes; {@code measured} is the cost so far in cost units. */
    public void onProgress(Slot slot, double measured) {
        mRunning.get(slot).ifPresent(running -> running.charge().progress(measured));
    }

    /** Handles the end of a request: settles its cost and returns the slot. */
    public List<RouterAction<R>> onEnded(Slot slot, double measured, long nowNanos) {
        return onEnded(slot, measured, false, nowNanos);
    }

    /** Handles a request that was given up and that the server may run until it notices. */
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
                            mDemand.onReturned(slot.pool(), to);
                        });
        startStandalone(slot.pool(), nowNanos, actions);
        return actions;
    }

    /**
     * Handles a recall: cancels the most recently started idempotent requests. Those cancelled
     * before that have not ended yet count, since a recall is repeated.
     */
    public List<RouterAction<R>> onRecall(SlotRecall recall) {
        List<RouterAction<R>> actions = new ArrayList<>();
        Optional<BackendServerId> server = BackendServerId.parse(recall.getServer());
        if (server.isEmpty()) {
            return actions;
        }
        List<RunningRequests.Running<R>> running = new ArrayList<>(mRunning.at(server.get()));
        int left = recall.getCount();
        for (int i = running.size() - 1; i >= 0 && left > 0; i--) {
            RunningRequests.Running<R> candidate = running.get(i);
            if (mIdempotent.test(candidate.request().request())) {
                left--;
                if (mRunning.recall(candidate.slot())) {
                    actions.add(new RouterAction.Cancel<>(candidate.request(), candidate.slot()));
                }
            }
        }
        return actions;
    }

    /** Notes an offer of an owner. */
    public void onOffer(PoolOffer offer, long nowNanos) {
        mDemand.onOffer(offer, nowNanos);
    }

    /** Notes that a failure domain is out of service or back. */
    public void onFailureDomainOut(FailureDomainId domain, boolean out) {
        mDemand.setOut(domain, out);
    }

    /**
     * Handles a valid view of the own failure domain.
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

    /** Handles the end of the last lease: from now on the rules without a view hold. */
    public List<RouterAction<R>> onViewLost(long nowNanos) {
        mHasView = false;
        List<RouterAction<R>> actions = new ArrayList<>();
        mQueues.pools().forEach(pool -> startStandalone(pool, nowNanos, actions));
        return actions;
    }

    /** Notes a server of the own failure domain, for the time without a view. */
    public void onServer(KnownServer server) {
        mStandalone.onServer(server);
    }

    /** Forgets a server that was removed. */
    public void onServerRemoved(BackendServerId server) {
        mStandalone.onServerRemoved(server);
        mOwners.remove(server);
    }

    /** Expires requests, repeats demands and reports; to be called every exchange round. */
    public List<RouterAction<R>> tick(long nowNanos) {
        List<RouterAction<R>> actions = new ArrayList<>();
        refuse(mQueues.expire(nowNanos), actions);
        mSeen.values().removeIf(forgetAt -> forgetAt < nowNanos);
        List.copyOf(mQueues.pools()).forEach(pool -> startStandalone(pool, nowNanos, actions));
        mDemand.round(nowNanos, actions);
        if (nowNanos >= mNextReportNanos) {
            sendReports(nowNanos, mDemand.takeAsked(), actions);
        }
        return actions;
    }

    /** Returns whether any owner offers servers of the pool, with or without free slots. */
    public boolean hasServers(PoolId pool, long nowNanos) {
        return mDemand.hasServers(pool, nowNanos);
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
            Optional<Slot> slot = mStandalone.find(pool, mRunning::count, nowNanos);
            if (slot.isEmpty()) {
                return;
            }
            next(pool, slot.get().server(), nowNanos, actions)
                    .ifPresent(r -> start(r, slot.get(), actions));
        }
    }

    private Optional<QueuedRequest<R>> next(
            PoolId pool, BackendServerId server, long nowNanos, List<RouterAction<R>> actions) {
        List<QueuedRequest<R>> expired = new ArrayList<>();
        Optional<QueuedRequest<R>> next =
                mQueues.next(
                        pool,
                        nowNanos,
                        waiting -> mChoice.choose(server, waiting, nowNanos),
                        expired);
        refuse(expired, actions);
        return next;
    }

    private void refuse(List<QueuedRequest<R>> expired, List<RouterAction<R>> actions) {
        expired.forEach(
                r -> actions.add(new RouterAction.Refuse<>(r, RefusalReason.DEADLINE_PASSED)));
    }

    private void start(QueuedRequest<R> request, Slot slot, List<RouterAction<R>> actions) {
        RequestCharge charge = RequestCharge.start(mLedger, request.customer(), request.estimate());
        mRunning.add(new RunningRequests.Running<>(request, slot, charge));
        actions.add(new RouterAction.Start<>(request, slot));
    }

    private OwnerContact contact(VmId owner) {
        return mContacts.computeIfAbsent(owner, o -> new OwnerContact());
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
        OwnerContact contact = contact(to);
        SlotReturn message =
                SlotReturn.newBuilder()
                        .setRouter(mSelf.vm().value())
                        .setRouterIncarnation(mSelf.incarnation())
                        .setServer(server.value())
                        .addAllSlots(slots)
                        .setCancelled(cancelled)
                        .setNumber(contact.nextReturn())
                        .setGrantsSeen(contact.grantsSeen())
                        .build();
        Envelope envelope = Envelope.newBuilder().setSlotReturn(message).build();
        actions.add(new RouterAction.Send<>(to, envelope));
    }

    private void sendReports(long nowNanos, Set<VmId> to, List<RouterAction<R>> actions) {
        mNextReportNanos = nowNanos + AdmissionTimes.REPEAT_INTERVAL;
        mReports.all(mEpoch, mDemand.closedSequence(nowNanos), to)
                .forEach(
                        (owner, envelope) -> actions.add(new RouterAction.Send<>(owner, envelope)));
    }
}
