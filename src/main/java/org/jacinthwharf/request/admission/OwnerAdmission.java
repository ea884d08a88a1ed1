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
 * <p>Every event returns the actions to take, in order. Invariants: nothing is granted without a
 * valid lease, while the failure domain is out, or above a server's limit; a free slot goes to the
 * demand whose customer has the smallest counter. Not thread-safe.
 */
public final class OwnerAdmission {
    private final RouterIncarnation mSelf;
    private final FailureDomainId mFailureDomain;
    private final String mRegion;
    private final SlotNumbers mNumbers;
    private final DemandTable mDemand = new DemandTable();
    private final Map<BackendServerId, ServerSlots> mServers = new TreeMap<>();
    private final Map<VmId, RouterContact> mContacts = new HashMap<>();
    private final Map<PoolId, PoolOffer> mOffers = new HashMap<>();
    private long mEpoch;
    private long mLeaseUntilNanos = Long.MIN_VALUE;
    private long mNextOffersNanos = Long.MIN_VALUE;
    private boolean mOut;

    /** Creates an owner without a lease and without servers. */
    public OwnerAdmission(RouterIncarnation self, FailureDomainId failureDomain, String region) {
        mSelf = self;
        mFailureDomain = failureDomain;
        mRegion = region;
        mNumbers = new SlotNumbers(self);
    }

    /** Notes the lease of the current view; nothing is granted from {@code untilNanos} on. */
    public void onLease(long epoch, long untilNanos) {
        mEpoch = epoch;
        mLeaseUntilNanos = untilNanos;
    }

    /**
     * Takes over a server from an earlier owner.
     *
     * @param leaseFreeFromNanos time from which no earlier owner has a lease (t0 of the design)
     */
    public void onServerOwned(BackendServerId server, long leaseFreeFromNanos) {
        mServers.put(server, new ServerSlots(leaseFreeFromNanos));
    }

    /** Gives up a server; its slots are forgotten and belong to the next owner. */
    public void onServerNotOwned(BackendServerId server) {
        mServers.remove(server);
    }

    /** Returns the servers owned now. */
    public Set<BackendServerId> servers() {
        return Set.copyOf(mServers.keySet());
    }

    /** Notes that the own failure domain is out of service or back. */
    public void onFailureDomainOut(boolean out) {
        mOut = out;
    }

    /** Notes whether a server gets no new work because it is silent or connections to it fail. */
    public void onSuspect(BackendServerId server, boolean suspect) {
        ServerSlots slots = mServers.get(server);
        if (slots != null) {
            slots.onSuspect(suspect);
        }
    }

    /** Handles what an owned server says about itself; ignores other servers and old messages. */
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
        publishChanges(nowNanos, actions);
        return actions;
    }

    /** Handles a router's demand. */
    public List<OwnerAction> onDemand(Demand demand, long nowNanos) {
        List<OwnerAction> actions = new ArrayList<>();
        Optional<VmId> vm = VmId.parse(demand.getRouter());
        if (vm.isEmpty() || !noteIncarnation(vm.get(), demand.getRouterIncarnation(), nowNanos)) {
            return actions;
        }
        RouterContact contact = mContacts.get(vm.get());
        contact.onDemand(demand.getGrantsSeen(), demand.getReturnsSent(), nowNanos);
        mDemand.accept(demand, nowNanos).ifPresent(pool -> grant(pool, nowNanos, actions));
        askForReport(vm.get(), true, nowNanos, actions);
        publishChanges(nowNanos, actions);
        return actions;
    }

    /** Handles returned slots, and grants them again at once. */
    public List<OwnerAction> onReturn(SlotReturn message, long nowNanos) {
        List<OwnerAction> actions = new ArrayList<>();
        Optional<VmId> router = VmId.parse(message.getRouter());
        ServerSlots server =
                BackendServerId.parse(message.getServer()).map(mServers::get).orElse(null);
        if (router.isEmpty()) {
            return actions;
        }
        RouterContact contact = mContacts.get(router.get());
        if (contact != null && contact.incarnation() == message.getRouterIncarnation()) {
            contact.onReturn(message.getNumber(), message.getGrantsSeen(), nowNanos);
            askForReport(router.get(), true, nowNanos, actions);
        }
        if (server != null) {
            if (message.getCancelled()) {
                server.onCancelled(router.get(), message.getSlotsList(), nowNanos);
            } else {
                server.onReturned(router.get(), message.getSlotsList(), nowNanos);
            }
            server.pool().ifPresent(pool -> grant(pool, nowNanos, actions));
            publishChanges(nowNanos, actions);
        }
        return actions;
    }

    /** Handles a router's report of what it runs at the servers of this owner. */
    public List<OwnerAction> onReport(RunningReport report, long nowNanos) {
        List<OwnerAction> actions = new ArrayList<>();
        Optional<VmId> vm = VmId.parse(report.getRouter());
        if (vm.isEmpty() || !noteIncarnation(vm.get(), report.getRouterIncarnation(), nowNanos)) {
            return actions;
        }
        RouterContact contact = mContacts.get(vm.get());
        if (!contact.onReport(report, nowNanos)) {
            return actions;
        }
        long closed = report.getClosedDemandSequence();
        boolean toThis = report.getOwnerIncarnation() == mSelf.incarnation();
        long closedGrant = toThis ? report.getClosedGrantNumber() : 0;
        contact.onClosed(closedGrant, nowNanos);
        RouterIncarnation router = RouterIncarnation.of(vm.get(), report.getRouterIncarnation());
        mServers.forEach(
                (id, server) ->
                        server.onReport(
                                router, listed(report, id, server), closed, closedGrant, nowNanos));
        grantAll(nowNanos, actions);
        publishChanges(nowNanos, actions);
        return actions;
    }

    private static Map<Long, Long> listed(
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
        mDemand.onRouterLost(router);
        mServers.values()
                .forEach(server -> server.onRouterLost(r -> r.vm().equals(router), nowNanos));
        publishChanges(nowNanos, actions);
        return actions;
    }

    /** Grants what time has made possible and repeats offers; to be called every round. */
    public List<OwnerAction> tick(long nowNanos) {
        List<OwnerAction> actions = new ArrayList<>();
        grantAll(nowNanos, actions);
        mContacts.keySet().forEach(vm -> askForReport(vm, false, nowNanos, actions));
        if (nowNanos >= mNextOffersNanos) {
            mNextOffersNanos = nowNanos + AdmissionTimes.REPEAT_INTERVAL;
            // A recall may be lost, or have reached a router whose requests cannot be cancelled.
            mServers.forEach((id, server) -> recall(id, server, nowNanos, actions));
            mOffers.values().removeIf(offer -> offer.getServers() == 0);
            for (PoolOffer offer : currentOffers(nowNanos).values()) {
                actions.add(new OwnerAction.Publish(offer));
            }
        }
        publishChanges(nowNanos, actions);
        return actions;
    }

    /** Notes a router's incarnation; returns false if it is an earlier one. */
    private boolean noteIncarnation(VmId vm, long incarnation, long nowNanos) {
        RouterContact known = mContacts.get(vm);
        if (known != null && incarnation < known.incarnation()) {
            return false;
        }
        if (known == null || incarnation > known.incarnation()) {
            mContacts.put(vm, new RouterContact(incarnation));
            mServers.values()
                    .forEach(
                            server ->
                                    server.onRouterLost(
                                            r -> r.vm().equals(vm) && r.incarnation() < incarnation,
                                            nowNanos));
        }
        return true;
    }

    /** Asks a router for a report if grants or returns seem to be lost. */
    private void askForReport(
            VmId router, boolean message, long nowNanos, List<OwnerAction> actions) {
        OptionalLong lost = mContacts.get(router).askNow(message, nowNanos);
        if (lost.isPresent()) {
            SlotGrant ask =
                    SlotGrant.newBuilder()
                            .setOwner(mSelf.vm().value())
                            .setOwnerIncarnation(mSelf.incarnation())
                            .setNumber(lost.getAsLong())
                            .setReportWanted(true)
                            .build();
            actions.add(
                    new OwnerAction.Send(router, Envelope.newBuilder().setSlotGrant(ask).build()));
        }
    }

    private void grantAll(long nowNanos, List<OwnerAction> actions) {
        Set<PoolId> pools = new HashSet<>();
        mServers.values().forEach(server -> server.pool().ifPresent(pools::add));
        pools.forEach(pool -> grant(pool, nowNanos, actions));
    }

    private void grant(PoolId pool, long nowNanos, List<OwnerAction> actions) {
        while (!mOut && nowNanos < mLeaseUntilNanos) {
            Optional<ServerSlots> server = freest(pool, nowNanos);
            Optional<DemandTable.Choice> choice = mDemand.best(pool, nowNanos);
            if (server.isEmpty() || choice.isEmpty()) {
                return;
            }
            long slot = mNumbers.next();
            RouterIncarnation router = choice.get().router();
            long number = mContacts.get(router.vm()).nextGrant(nowNanos);
            server.get().onGranted(slot, router, choice.get().sequence(), number, nowNanos);
            mDemand.onGranted(pool, nowNanos);
            SlotGrant grant = message(pool, server.get(), slot, choice.get().sequence(), number);
            actions.add(
                    new OwnerAction.Send(
                            router.vm(), Envelope.newBuilder().setSlotGrant(grant).build()));
        }
    }

    private Optional<ServerSlots> freest(PoolId pool, long nowNanos) {
        return mServers.values().stream()
                .filter(s -> s.pool().equals(Optional.of(pool)) && s.free(nowNanos) > 0)
                .max(Comparator.comparingDouble(s -> (double) s.free(nowNanos) / s.limit()));
    }

    private SlotGrant message(
            PoolId pool, ServerSlots server, long slot, long sequence, long number) {
        ServerAnnouncement announcement = server.announcement();
        return SlotGrant.newBuilder()
                .setOwner(mSelf.vm().value())
                .setOwnerIncarnation(mSelf.incarnation())
                .setViewEpoch(mEpoch)
                .setPool(Pools.toMessage(pool))
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

    /** Asks for the requests above the limit of a cold server. */
    private void recall(
            BackendServerId id, ServerSlots server, long nowNanos, List<OwnerAction> actions) {
        int excess = server.isCold() ? server.excess(nowNanos) : 0;
        for (Map.Entry<VmId, Integer> held : server.held().entrySet()) {
            int count = Math.min(excess, held.getValue());
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
                                held.getKey(),
                                Envelope.newBuilder().setSlotRecall(recall).build()));
            }
        }
    }

    private void publishChanges(long nowNanos, List<OwnerAction> actions) {
        Map<PoolId, PoolOffer> offers = currentOffers(nowNanos);
        offers.forEach(
                (pool, offer) -> {
                    PoolOffer before = mOffers.put(pool, offer);
                    // The number waiting changes with each request; the repeats are enough for it.
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
        boolean granting = !mOut && nowNanos < mLeaseUntilNanos;
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
                                        .setPool(Pools.toMessage(pool))
                                        .setWaiting(mDemand.waiting(pool, nowNanos))
                                        .build()));
        return built;
    }
}
