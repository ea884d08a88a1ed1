package org.jacinthwharf.request.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Demand;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.PoolOffer;
import org.jacinthwharf.wire.generated.RunningReport;
import org.jacinthwharf.wire.generated.ServerAnnouncement;
import org.jacinthwharf.wire.generated.ServerRunning;
import org.jacinthwharf.wire.generated.ServerState;
import org.jacinthwharf.wire.generated.SlotGrant;
import org.jacinthwharf.wire.generated.SlotRecall;
import org.jacinthwharf.wire.generated.SlotReturn;

/**
 * Grants the slots of the backend servers that this router owns.
 *
 * <p>Every event handler returns the actions to take, in order. Invariants: nothing is granted
 * without a valid lease, while the failure domain is out of service, or above a server's limit; a
 * free slot goes to the demand whose customer has the smallest counter. Not thread-safe.
 */
public final class OwnerAdmission {
    private final RouterIncarnation mSelf;
    private final FailureDomainId mFailureDomain;
    private final String mRegion;
    private final SlotNumberGenerator mNumbers;
    private final DemandTable mDemandTable = new DemandTable();
    private final Map<BackendServerId, ServerSlots> mServers = new TreeMap<>();
    private final Map<VmId, RouterMessageTracker> mTrackers = new HashMap<>();
    private final Map<PoolId, PoolOffer> mOffers = new HashMap<>();
    private long mEpoch;
    private long mLeaseUntilNanos = Long.MIN_VALUE;
    private long mNextOffersNanos = Long.MIN_VALUE;
    private boolean mOutOfService;

    /** Creates an owner without a lease and without servers. */
    public OwnerAdmission(RouterIncarnation self, FailureDomainId failureDomain, String region) {
        mSelf = self;
        mFailureDomain = failureDomain;
        mRegion = region;
        mNumbers = new SlotNumberGenerator(self);
    }

    /** Updates the lease of the current view; nothing is granted from {@code untilNanos} on. */
    public void onLease(long epoch, long untilNanos) {
        mEpoch = epoch;
        mLeaseUntilNanos = untilNanos;
    }

    /**
     * Takes over a server that an earlier owner may have granted slots of.
     *
     * @param leaseFreeFromNanos time from which no earlier owner holds a lease (t0 in the design)
     */
    public void onServerAcquired(BackendServerId server, long leaseFreeFromNanos) {
        mServers.put(server, new ServerSlots(leaseFreeFromNanos));
    }

    /** Releases a server and discards its slots, which the next owner accounts for. */
    public void onServerReleased(BackendServerId server) {
        mServers.remove(server);
    }

    /** Returns the servers owned now. */
    public Set<BackendServerId> servers() {
        return Set.copyOf(mServers.keySet());
    }

    /** Sets whether the failure domain of this router is out of service. */
    public void setOutOfService(boolean outOfService) {
        mOutOfService = outOfService;
    }

    /**
     * Sets whether a server gets no new work because its announcements stopped or connections to it
     * fail.
     */
    public void onSuspect(BackendServerId server, boolean suspect) {
        ServerSlots slots = mServers.get(server);
        if (slots != null) {
            slots.onSuspect(suspect);
        }
    }

    /**
     * Handles the announcement of an owned server; ignores other servers and stale announcements.
     */
    public List<OwnerAction> onAnnouncement(ServerAnnouncement announcement, long nowNanos) {
        List<OwnerAction> actions = new ArrayList<>();
        Optional<BackendServerId> id = BackendServerId.parse(announcement.getServer());
        ServerSlots server = id.map(mServers::get).orElse(null);
        if (server == null) {
            return actions;
        }
        boolean wasWarm =
                server.announcement() != null
                        && server.announcement().getState() == ServerState.WARM;
        if (!server.onAnnouncement(announcement, nowNanos)) {
            return actions;
        }
        if (wasWarm) {
            recall(id.get(), server, nowNanos, actions);
        }
        server.pool().ifPresent(pool -> grant(pool, nowNanos, actions));
        publishChangedOffers(nowNanos, actions);
        return actions;
    }

    /** Handles a router's demand. */
    public List<OwnerAction> onDemand(Demand demand, long nowNanos) {
        List<OwnerAction> actions = new ArrayList<>();
        Optional<VmId> vm = VmId.parse(demand.getRouter());
        if (vm.isEmpty() || !updateIncarnation(vm.get(), demand.getRouterIncarnation(), nowNanos)) {
            return actions;
        }
        RouterMessageTracker tracker = mTrackers.get(vm.get());
        tracker.onDemand(demand.getGrantsSeen(), demand.getReturnsSent(), nowNanos);
        mDemandTable.update(demand, nowNanos).ifPresent(pool -> grant(pool, nowNanos, actions));
        requestReportIfLost(vm.get(), true, nowNanos, actions);
        publishChangedOffers(nowNanos, actions);
        return actions;
    }

    /** Handles returned slots and grants them again immediately. */
    public List<OwnerAction> onReturn(SlotReturn message, long nowNanos) {
        List<OwnerAction> actions = new ArrayList<>();
        Optional<VmId> router = VmId.parse(message.getRouter());
        ServerSlots server =
                BackendServerId.parse(message.getServer()).map(mServers::get).orElse(null);
        if (router.isEmpty()) {
            return actions;
        }
        RouterMessageTracker tracker = mTrackers.get(router.get());
        if (tracker != null && tracker.incarnation() == message.getRouterIncarnation()) {
            tracker.onReturn(message.getNumber(), message.getGrantsSeen(), nowNanos);
            requestReportIfLost(router.get(), true, nowNanos, actions);
        }
        if (server != null) {
            if (message.getCancelled()) {
                server.onCancelled(router.get(), message.getSlotsList(), nowNanos);
            } else {
                server.onReturned(router.get(), message.getSlotsList(), nowNanos);
            }
            server.pool().ifPresent(pool -> grant(pool, nowNanos, actions));
            publishChangedOffers(nowNanos, actions);
        }
        return actions;
    }

    /** Handles a router's report of the requests that it runs at the servers of this owner. */
    public List<OwnerAction> onReport(RunningReport report, long nowNanos) {
        List<OwnerAction> actions = new ArrayList<>();
        Optional<VmId> vm = VmId.parse(report.getRouter());
        if (vm.isEmpty() || !updateIncarnation(vm.get(), report.getRouterIncarnation(), nowNanos)) {
            return actions;
        }
        RouterMessageTracker tracker = mTrackers.get(vm.get());
        if (!tracker.onReport(report, nowNanos)) {
            return actions;
        }
        long closed = report.getClosedDemandSequence();
        boolean forThisIncarnation = report.getOwnerIncarnation() == mSelf.incarnation();
        long closedGrant = forThisIncarnation ? report.getClosedGrantNumber() : 0;
        tracker.onGrantsClosed(closedGrant, nowNanos);
        RouterIncarnation router = RouterIncarnation.of(vm.get(), report.getRouterIncarnation());
        mServers.forEach(
                (id, server) ->
                        server.onReport(
                                router,
                                reportedSlots(report, id, server),
                                closed,
                                closedGrant,
                                nowNanos));
        grantAll(nowNanos, actions);
        publishChangedOffers(nowNanos, actions);
        return actions;
    }

    private static Map<Long, Long> reportedSlots(
            RunningReport report, BackendServerId id, ServerSlots server) {
        Map<Long, Long> slots = new HashMap<>();
        for (ServerRunning running : report.getServersList()) {
            boolean current =
                    server.announcement() == null
                            || running.getServerIncarnation()
                                    >= server.announcement().getIncarnation();
            if (current && running.getServer().equals(id.value())) {
                long incarnation = running.getServerIncarnation();
                running.getSlotsList().forEach(slot -> slots.put(slot, incarnation));
            }
        }
        return slots;
    }

    /** Handles the loss of a router: its demand is dropped, its slots become unattributed. */
    public List<OwnerAction> onRouterLost(VmId router, long nowNanos) {
        List<OwnerAction> actions = new ArrayList<>();
        mDemandTable.onRouterLost(router);
        mServers.values()
                .forEach(server -> server.onRouterLost(r -> r.vm().equals(router), nowNanos));
        publishChangedOffers(nowNanos, actions);
        return actions;
    }

    /**
     * Grants slots that became free with time and resends offers; must be called once per exchange
     * interval.
     */
    public List<OwnerAction> tick(long nowNanos) {
        List<OwnerAction> actions = new ArrayList<>();
        grantAll(nowNanos, actions);
        mTrackers.keySet().forEach(vm -> requestReportIfLost(vm, false, nowNanos, actions));
        if (nowNanos >= mNextOffersNanos) {
            mNextOffersNanos = nowNanos + AdmissionDurations.RESEND_INTERVAL;
            // A recall may be lost, or reach a router whose requests cannot be cancelled, so it is
            // repeated.
            mServers.forEach((id, server) -> recall(id, server, nowNanos, actions));
            mOffers.values().removeIf(offer -> offer.getServers() == 0);
            for (PoolOffer offer : currentOffers(nowNanos).values()) {
                actions.add(new OwnerAction.Publish(offer));
            }
        }
        publishChangedOffers(nowNanos, actions);
        return actions;
    }

    /** Records a router's incarnation; returns false if it is older than the known one. */
    private boolean updateIncarnation(VmId vm, long incarnation, long nowNanos) {
        RouterMessageTracker previous = mTrackers.get(vm);
        if (previous != null && incarnation < previous.incarnation()) {
            return false;
        }
        if (previous == null || incarnation > previous.incarnation()) {
            mTrackers.put(vm, new RouterMessageTracker(incarnation));
            mServers.values()
                    .forEach(
                            server ->
                                    server.onRouterLost(
                                            r -> r.vm().equals(vm) && r.incarnation() < incarnation,
                                            nowNanos));
        }
        return true;
    }

    /** Requests a report from a router if grants or returns appear to be lost. */
    private void requestReportIfLost(
            VmId router, boolean messageReceived, long nowNanos, List<OwnerAction> actions) {
        OptionalLong lost = mTrackers.get(router).nextReportRequest(messageReceived, nowNanos);
        if (lost.isPresent()) {
            SlotGrant request =
                    SlotGrant.newBuilder()
                            .setOwner(mSelf.vm().value())
                            .setOwnerIncarnation(mSelf.incarnation())
                            .setNumber(lost.getAsLong())
                            .setReportWanted(true)
                            .build();
            actions.add(
                    new OwnerAction.Send(
                            router, Envelope.newBuilder().setSlotGrant(request).build()));
        }
    }

    private void grantAll(long nowNanos, List<OwnerAction> actions) {
        Set<PoolId> pools = new HashSet<>();
        mServers.values().forEach(server -> server.pool().ifPresent(pools::add));
        pools.forEach(pool -> grant(pool, nowNanos, actions));
    }

    private void grant(PoolId pool, long nowNanos, List<OwnerAction> actions) {
        while (!mOutOfService && nowNanos < mLeaseUntilNanos) {
            Optional<ServerSlots> server = serverWithMostFreeCapacity(pool, nowNanos);
            Optional<DemandTable.Choice> choice = mDemandTable.selectNext(pool, nowNanos);
            if (server.isEmpty() || choice.isEmpty()) {
                return;
            }
            long slot = mNumbers.next();
            RouterIncarnation router = choice.get().router();
            long number = mTrackers.get(router.vm()).nextGrant(nowNanos);
            server.get().onGranted(slot, router, choice.get().sequence(), number, nowNanos);
            mDemandTable.onGranted(pool, nowNanos);
            SlotGrant grant =
                    grantMessage(pool, server.get(), slot, choice.get().sequence(), number);
            actions.add(
                    new OwnerAction.Send(
                            router.vm(), Envelope.newBuilder().setSlotGrant(grant).build()));
        }
    }

    private Optional<ServerSlots> serverWithMostFreeCapacity(PoolId pool, long nowNanos) {
        return mServers.values().stream()
                .filter(s -> s.pool().equals(Optional.of(pool)) && s.free(nowNanos) > 0)
                .max(Comparator.comparingDouble(s -> (double) s.free(nowNanos) / s.limit()));
    }

    private SlotGrant grantMessage(
            PoolId pool, ServerSlots server, long slot, long sequence, long number) {
        ServerAnnouncement announcement = server.announcement();
        return SlotGrant.newBuilder()
                .setOwner(mSelf.vm().value())
                .setOwnerIncarnation(mSelf.incarnation())
                .setViewEpoch(mEpoch)
                .setPool(PoolMessages.toMessage(pool))
                .setServer(announcement.getServer())
                .setServerIncarnation(announcement.getIncarnation())
                .setAddress(announcement.getAddress())
                .setCold(server.isCold())
                .addSlots(slot)
                .setFailureDomain(mFailureDomain.value())
                .setDemandSequence(sequence)
                .setNumber(number)
                .build();
    }

    /** Recalls the requests above the limit of a cold server. */
    private void recall(
            BackendServerId id, ServerSlots server, long nowNanos, List<OwnerAction> actions) {
        int excess = server.isCold() ? server.excess(nowNanos) : 0;
        for (Map.Entry<VmId, Integer> entry : server.heldByRouter().entrySet()) {
            int count = Math.min(excess, entry.getValue());
            if (count > 0) {
                excess -= count;
                SlotRecall recall =
                        SlotRecall.newBuilder()
                                .setOwner(mSelf.vm().value())
                                .setServer(id.value())
                                .setCount(count)
                                .build();
                actions.add(
                        new OwnerAction.Send(
                                entry.getKey(),
                                Envelope.newBuilder().setSlotRecall(recall).build()));
            }
        }
    }

    private void publishChangedOffers(long nowNanos, List<OwnerAction> actions) {
        Map<PoolId, PoolOffer> offers = currentOffers(nowNanos);
        offers.forEach(
                (pool, offer) -> {
                    PoolOffer before = mOffers.put(pool, offer);
                    // The number of waiting requests changes with each request; periodic offers
                    // suffice for it.
                    if (before == null
                            || before.getServers() != offer.getServers()
                            || before.getFreeSlots() == 0 != (offer.getFreeSlots() == 0)) {
                        actions.add(new OwnerAction.Publish(offer));
                    }
                });
    }

    private Map<PoolId, PoolOffer> currentOffers(long nowNanos) {
        Map<PoolId, PoolOffer.Builder> offers = new HashMap<>();
        mOffers.keySet().forEach(pool -> offers.put(pool, PoolOffer.newBuilder()));
        boolean granting = !mOutOfService && nowNanos < mLeaseUntilNanos;
        for (ServerSlots server : mServers.values()) {
            if (granting && server.isUsable(nowNanos)) {
                PoolOffer.Builder offer =
                        offers.computeIfAbsent(
                                server.pool().orElseThrow(), p -> PoolOffer.newBuilder());
                offer.setServers(offer.getServers() + 1)
                        .setFreeSlots(offer.getFreeSlots() + server.free(nowNanos));
            }
        }
        Map<PoolId, PoolOffer> built = new HashMap<>();
        offers.forEach(
                (pool, offer) ->
                        built.put(
                                pool,
                                offer.setOwner(mSelf.vm().value())
                                        .setOwnerIncarnation(mSelf.incarnation())
                                        .setFailureDomain(mFailureDomain.value())
                                        .setRegion(mRegion)
                                        .setPool(PoolMessages.toMessage(pool))
                                        .setWaiting(mDemandTable.waiting(pool, nowNanos))
                                        .build()));
        return built;
    }
}
