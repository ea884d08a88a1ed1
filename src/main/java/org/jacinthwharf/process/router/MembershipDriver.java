package org.jacinthwharf.process.router;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.ModelId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VersionId;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.membership.AnnounceOutcome;
import org.jacinthwharf.process.membership.DomainView;
import org.jacinthwharf.process.membership.DomainVoters;
import org.jacinthwharf.process.membership.Owners;
import org.jacinthwharf.process.membership.RegisteredServer;
import org.jacinthwharf.process.membership.RegistryEvent;
import org.jacinthwharf.process.membership.ServerRegistry;
import org.jacinthwharf.process.membership.View;
import org.jacinthwharf.process.membership.ViewOutput;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.request.admission.KnownServer;
import org.jacinthwharf.request.admission.OwnerAdmission;
import org.jacinthwharf.request.admission.RouterAdmission;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.ServerAnnouncement;
import org.jacinthwharf.wire.generated.ServerFailure;
import org.jacinthwharf.wire.generated.ServerState;

/**
 * Joins the view of the failure domain, the registry of backend servers and the slot decisions.
 *
 * <p>Used on the event loop only. Invariants: a server is registered at its owner; a server whose
 * owner changes, or whose owner's lease lapsed, is given up before anything is granted for it.
 */
final class MembershipDriver {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    // Bounds the memory for servers that are long gone; a failure domain has about 360.
    private static final int MAX_KNOWN_SERVERS = 4_096;

    private final RouterIncarnation mSelf;
    private final DomainView mView;
    private final ServerRegistry mRegistry;
    private final OwnerAdmission mOwner;
    private final RouterAdmission<RequestRun> mRouter;
    private final AdmissionDriver mAdmission;
    private final PeerLinks mLinks;
    private final EventLoop mLoop;
    private final FleetMetrics mMetrics;
    private final AnnouncementParser mParser = new AnnouncementParser();
    private final Set<BackendServerId> mKnown = new LinkedHashSet<>();

    MembershipDriver(
            RouterIncarnation self,
            DomainView view,
            ServerRegistry registry,
            OwnerAdmission owner,
            RouterAdmission<RequestRun> router,
            AdmissionDriver admission,
            PeerLinks links,
            EventLoop loop,
            FleetMetrics metrics) {
        mSelf = self;
        mView = view;
        mRegistry = registry;
        mOwner = owner;
        mRouter = router;
        mAdmission = admission;
        mLinks = links;
        mLoop = loop;
        mMetrics = metrics;
    }

    private long now() {
        return mLoop.nowNanos();
    }

    /** Takes a message about membership; returns false if it is about something else. */
    boolean onMessage(Envelope message) {
        long now = now();
        switch (message.getPayloadCase()) {
            case LEASE_VOTE_REQUEST -> run(mView.onVoteRequest(message.getLeaseVoteRequest(), now));
            case LEASE_VOTE -> run(mView.onVote(message.getLeaseVote(), now));
            case VIEW_RENEWAL -> run(mView.onRenewal(message.getViewRenewal(), now));
            case VIEW_ACK -> run(mView.onAck(message.getViewAck(), now));
            case SERVER_ANNOUNCEMENT -> register(message.getServerAnnouncement());
            case SERVER_FAILURE -> onServerFailure(message.getServerFailure());
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Advances leases and ages backend servers; called every 100 ms. */
    void tick() {
        run(mView.onTick(now()));
        passLeaseOn();
        onEvents(mRegistry.onTick(now()));
    }

    /** Gives up the lease before a planned stop. */
    void leave() {
        run(mView.leave(now()));
    }

    /** Returns whether this router has a valid view. */
    boolean hasView() {
        return !mView.isStandalone(now());
    }

    /** Returns the last view, valid or not. */
    Optional<View> view() {
        return mView.view();
    }

    /** Returns the backend servers registered here. */
    Map<BackendServerId, RegisteredServer> servers() {
        return mRegistry.servers();
    }

    // --- Views ----------------------------------------------------------------------------------

    private void run(List<ViewOutput> outputs) {
        for (ViewOutput output : outputs) {
            if (output instanceof ViewOutput.Send s) {
                send(s);
            } else if (output instanceof ViewOutput.Changed c) {
                onView(c.view());
            } else if (output instanceof ViewOutput.Regained r) {
                onView(r.view());
            } else if (output instanceof ViewOutput.Standalone) {
                LOGGER.atWarning().log("event=view_lost vm=%s", mSelf.vm());
                mMetrics.countEvent("view_lost");
                giveUpServers();
                mAdmission.run(mRouter.onViewLost(now()));
            }
        }
        if (!outputs.isEmpty()) {
            passLeaseOn();
        }
    }

    /**
     * Forgets the slots of all owned servers. After a lapsed lease another router may have granted
     * slots under a view that this one never saw, so it must take over as a new owner does.
     */
    private void giveUpServers() {
        mOwner.servers().forEach(mOwner::onServerNotOwned);
    }

    private void send(ViewOutput.Send send) {
        if (send.to().equals(DomainVoters.WITNESS)) {
            // Only the leader of the control group answers.
            mLinks.sendToAllControl(send.envelope());
        } else {
            mLinks.sendToRouter(VmId.of(send.to()), send.envelope());
        }
    }

    private void passLeaseOn() {
        mView.view()
                .ifPresent(
                        v -> {
                            if (v.isValid(now())) {
                                mOwner.onLease(v.epoch(), v.leaseValidUntilNanos());
                            }
                        });
    }

    private void onView(View view) {
        LOGGER.atInfo().log(
                "event=view_changed epoch=%d coordinator=%s members=%s valid=%s",
                view.epoch(), view.coordinator(), view.members(), view.isValid(now()));
        mMetrics.countEvent("view_changed");
        Set<VmId> members = view.memberVms();
        for (BackendServerId server : mOwner.servers()) {
            if (!isOwner(server, members)) {
                mOwner.onServerNotOwned(server);
            }
        }
        mRegistry.servers().values().forEach(s -> ownIfMine(s, view));
        Map<BackendServerId, VmId> owners = new HashMap<>();
        mKnown.forEach(s -> Owners.ownerOf(s, members).ifPresent(o -> owners.put(s, o)));
        if (view.isValid(now())) {
            mAdmission.run(mRouter.onView(view.epoch(), owners, now()));
        }
    }

    private boolean isOwner(BackendServerId server, Set<VmId> members) {
        return Owners.ownerOf(server, members).equals(Optional.of(mSelf.vm()));
    }

    private void ownIfMine(RegisteredServer server, View view) {
        if (isOwner(server.id(), view.memberVms()) && !mOwner.servers().contains(server.id())) {
            mOwner.onServerOwned(server.id(), view.previousLapsedAtNanos());
            mAdmission.runOwner(mOwner.onAnnouncement(server.announcement(), now()));
            mOwner.onSuspect(server.id(), server.suspect());
        }
    }

    // --- Backend servers ------------------------------------------------------------------------

    /** Takes the body of an announcement and answers it. */
    void onAnnouncement(ByteString body, CallerExchange exchange) {
        AnnouncementParser.Result result = mParser.parse(body);
        if (result instanceof AnnouncementParser.Result.Malformed m) {
            refuse(exchange, RefusalReason.MALFORMED_ANNOUNCEMENT, m.detail());
            return;
        }
        ServerAnnouncement announcement =
                ((AnnouncementParser.Result.Parsed) result).announcement();
        BackendServerId server = BackendServerId.of(announcement.getServer());
        Optional<VmId> owner =
                hasView()
                        ? Owners.ownerOf(server, mView.view().orElseThrow().memberVms())
                        : Optional.empty();
        if (owner.isEmpty() || owner.get().equals(mSelf.vm())) {
            Optional<String> problem = register(announcement);
            if (problem.isPresent()) {
                refuse(exchange, RefusalReason.WRONG_FAILURE_DOMAIN, problem.get());
                return;
            }
        } else if (!mLinks.sendToRouter(
                owner.get(), Envelope.newBuilder().setServerAnnouncement(announcement).build())) {
            refuse(exchange, RefusalReason.NOT_READY, "no link to owner " + owner.get());
            return;
        }
        exchange.answer(202, "application/json", Map.of(), ByteString.copyFromUtf8("{}"));
    }

    private void refuse(CallerExchange exchange, RefusalReason reason, String detail) {
        mMetrics.countRefusal(reason);
        exchange.refuse(reason, true, detail);
    }

    /** Registers an announcement; returns what is wrong with it, if anything. */
    private Optional<String> register(ServerAnnouncement announcement) {
        AnnounceOutcome outcome = mRegistry.onAnnouncement(announcement, now());
        if (outcome instanceof AnnounceOutcome.Refused r) {
            return Optional.of(r.reason());
        }
        if (outcome instanceof AnnounceOutcome.Accepted a) {
            BackendServerId id = BackendServerId.of(announcement.getServer());
            remember(id);
            mView.view()
                    .filter(v -> v.isValid(now()))
                    .ifPresent(v -> ownIfMine(mRegistry.servers().get(id), v));
            mAdmission.runOwner(mOwner.onAnnouncement(announcement, now()));
            onEvents(a.events());
        }
        return Optional.empty();
    }

    private void remember(BackendServerId server) {
        if (mKnown.add(server)) {
            if (mKnown.size() > MAX_KNOWN_SERVERS) {
                mKnown.remove(mKnown.iterator().next());
            }
        }
    }

    /** Takes note that a connection to a server failed, and tells the server's owner. */
    void onConnectionFailed(BackendServerId server, long incarnation) {
        ServerFailure failure =
                ServerFailure.newBuilder()
                        .setServer(server.value())
                        .setServerIncarnation(incarnation)
                        .build();
        Optional<VmId> owner = mView.view().flatMap(v -> Owners.ownerOf(server, v.memberVms()));
        if (owner.isPresent() && !owner.get().equals(mSelf.vm())) {
            mLinks.sendToRouter(
                    owner.get(), Envelope.newBuilder().setServerFailure(failure).build());
        }
        onServerFailure(failure);
    }

    private void onServerFailure(ServerFailure failure) {
        BackendServerId server = BackendServerId.of(failure.getServer());
        RegisteredServer known = mRegistry.servers().get(server);
        // A failure at an earlier incarnation says nothing about the present one.
        if (known != null
                && known.announcement().getIncarnation() <= failure.getServerIncarnation()) {
            onEvents(mRegistry.onConnectionFailed(server));
        }
    }

    private void onEvents(List<RegistryEvent> events) {
        for (RegistryEvent event : events) {
            if (event instanceof RegistryEvent.Removed r) {
                LOGGER.atInfo().log("event=server_removed server=%s", r.server());
                mOwner.onServerNotOwned(r.server());
                mRouter.onServerRemoved(r.server());
                mKnown.remove(r.server());
            } else if (event instanceof RegistryEvent.DomainOut d) {
                mOwner.onFailureDomainOut(d.out());
            } else {
                onServerEvent(event);
            }
        }
    }

    private void onServerEvent(RegistryEvent event) {
        RegisteredServer server = serverOf(event);
        if (!(event instanceof RegistryEvent.Updated)) {
            LOGGER.atInfo().log(
                    "event=server_%s server=%s incarnation=%d state=%s running=%d",
                    event.getClass().getSimpleName(),
                    server.id(),
                    server.announcement().getIncarnation(),
                    server.announcement().getState(),
                    server.announcement().getRunning());
        }
        mOwner.onSuspect(server.id(), server.suspect());
        mRouter.onServer(toKnown(server));
    }

    private static RegisteredServer serverOf(RegistryEvent event) {
        if (event instanceof RegistryEvent.Added e) {
            return e.server();
        } else if (event instanceof RegistryEvent.Restarted e) {
            return e.server();
        } else if (event instanceof RegistryEvent.TurnedCold e) {
            return e.server();
        } else if (event instanceof RegistryEvent.TurnedWarm e) {
            return e.server();
        } else if (event instanceof RegistryEvent.Leaving e) {
            return e.server();
        } else if (event instanceof RegistryEvent.Updated e) {
            return e.server();
        } else if (event instanceof RegistryEvent.Suspected e) {
            return e.server();
        } else if (event instanceof RegistryEvent.Recovered e) {
            return e.server();
        }
        throw new IllegalStateException("event without a server: " + event);
    }

    private KnownServer toKnown(RegisteredServer server) {
        ServerAnnouncement a = server.announcement();
        boolean leaving = a.getState() == ServerState.LEAVING;
        return new KnownServer(
                server.id(),
                a.getIncarnation(),
                a.getAddress(),
                PoolId.of(ModelId.of(a.getModel()), VersionId.of(a.getVersion())),
                !server.cold(),
                a.getWarmLimit(),
                !server.suspect() && !leaving && mRegistry.isEligibleForWork(server.id()));
    }

    /** Takes the own failure domain out of service or puts it back. */
    void onDomainOut(boolean out) {
        onEvents(mRegistry.setDomainOut(out));
    }
}
