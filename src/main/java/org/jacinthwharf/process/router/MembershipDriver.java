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
import org.jacinthwharf.process.membership.RegisteredServer;
import org.jacinthwharf.process.membership.RegistryEvent;
import org.jacinthwharf.process.membership.ServerOwners;
import org.jacinthwharf.process.membership.ServerRegistry;
import org.jacinthwharf.process.membership.View;
import org.jacinthwharf.process.membership.ViewOutput;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.request.admission.OwnerAdmission;
import org.jacinthwharf.request.admission.RouterAdmission;
import org.jacinthwharf.request.admission.ServerInfo;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.ServerAnnouncement;
import org.jacinthwharf.wire.generated.ServerFailure;
import org.jacinthwharf.wire.generated.ServerState;

/**
 * Connects the view of the failure domain, the registry of backend servers and admission control.
 *
 * <p>Used on the event loop only. Invariants: a server is registered at its owner; this router
 * releases a server whose owner has changed, and all servers when its lease has expired, before it
 * grants further slots for them.
 */
final class MembershipDriver {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    // Bounds the memory held for removed servers; a failure domain has about 360 servers.
    private static final int MAX_TRACKED_SERVERS = 4_096;

    private final RouterIncarnation mSelf;
    private final DomainView mView;
    private final ServerRegistry mRegistry;
    private final OwnerAdmission mOwnerAdmission;
    private final RouterAdmission<RequestExecution> mRouterAdmission;
    private final AdmissionDriver mAdmission;
    private final PeerLinks mLinks;
    private final EventLoop mLoop;
    private final FleetMetrics mMetrics;
    private final AnnouncementParser mParser = new AnnouncementParser();
    private final Set<BackendServerId> mTrackedServers = new LinkedHashSet<>();

    MembershipDriver(
            RouterIncarnation self,
            DomainView view,
            ServerRegistry registry,
            OwnerAdmission ownerAdmission,
            RouterAdmission<RequestExecution> routerAdmission,
            AdmissionDriver admission,
            PeerLinks links,
            EventLoop loop,
            FleetMetrics metrics) {
        mSelf = self;
        mView = view;
        mRegistry = registry;
        mOwnerAdmission = ownerAdmission;
        mRouterAdmission = routerAdmission;
        mAdmission = admission;
        mLinks = links;
        mLoop = loop;
        mMetrics = metrics;
    }

    private long now() {
        return mLoop.nowNanos();
    }

    /** Handles a membership message; returns false for any other message. */
    boolean onMessage(Envelope message) {
        long now = now();
        switch (message.getPayloadCase()) {
            case LEASE_VOTE_REQUEST ->
                    execute(mView.onVoteRequest(message.getLeaseVoteRequest(), now));
            case LEASE_VOTE -> execute(mView.onVote(message.getLeaseVote(), now));
            case VIEW_RENEWAL -> execute(mView.onRenewal(message.getViewRenewal(), now));
            case VIEW_ACK -> execute(mView.onAck(message.getViewAck(), now));
            case SERVER_ANNOUNCEMENT -> register(message.getServerAnnouncement());
            case SERVER_FAILURE -> onServerFailure(message.getServerFailure());
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Advances the lease and detects silent backend servers; called every 100 ms. */
    void tick() {
        execute(mView.onTick(now()));
        updateOwnerLease();
        onEvents(mRegistry.onTick(now()));
    }

    /** Releases the lease before a graceful shutdown. */
    void leave() {
        execute(mView.leave(now()));
    }

    /** Returns whether this router holds a valid lease on its view. */
    boolean hasView() {
        return !mView.isStandalone(now());
    }

    /** Returns the latest view, valid or not. */
    Optional<View> view() {
        return mView.view();
    }

    /** Returns the backend servers that are registered at this router. */
    Map<BackendServerId, RegisteredServer> servers() {
        return mRegistry.servers();
    }

    // --- Views ----------------------------------------------------------------------------------

    private void execute(List<ViewOutput> outputs) {
        for (ViewOutput output : outputs) {
            if (output instanceof ViewOutput.Send s) {
                send(s);
            } else if (output instanceof ViewOutput.Changed c) {
                onView(c.view());
            } else if (output instanceof ViewOutput.LeaseGained r) {
                onView(r.view());
            } else if (output instanceof ViewOutput.LeaseLost) {
                LOGGER.atWarning().log("event=view_lost vm=%s", mSelf.vm());
                mMetrics.countEvent("view_lost");
                releaseServers();
                mAdmission.executeRouterActions(mRouterAdmission.onViewLost(now()));
            }
        }
        if (!outputs.isEmpty()) {
            updateOwnerLease();
        }
    }

    /**
     * Releases all owned servers and their slots. After the lease has expired, another router may
     * have granted slots under a view that this router never received, so this router has to
     * acquire the servers again like a new owner.
     */
    private void releaseServers() {
        mOwnerAdmission.servers().forEach(mOwnerAdmission::onServerReleased);
    }

    private void send(ViewOutput.Send send) {
        if (send.to().equals(DomainVoters.WITNESS)) {
            // Only the leader of the control group answers.
            mLinks.sendToAllControl(send.envelope());
        } else {
            mLinks.sendToRouter(VmId.of(send.to()), send.envelope());
        }
    }

    private void updateOwnerLease() {
        mView.view()
                .ifPresent(
                        v -> {
                            if (v.isLeaseValid(now())) {
                                mOwnerAdmission.onLease(v.epoch(), v.leaseExpiresAtNanos());
                            }
                        });
    }

    private void onView(View view) {
        LOGGER.atInfo().log(
                "event=view_changed epoch=%d coordinator=%s members=%s valid=%s",
                view.epoch(), view.coordinator(), view.members(), view.isLeaseValid(now()));
        mMetrics.countEvent("view_changed");
        Set<VmId> members = view.memberVms();
        for (BackendServerId server : mOwnerAdmission.servers()) {
            if (!isOwner(server, members)) {
                mOwnerAdmission.onServerReleased(server);
            }
        }
        mRegistry.servers().values().forEach(s -> acquireIfOwned(s, view));
        Map<BackendServerId, VmId> owners = new HashMap<>();
        mTrackedServers.forEach(
                s -> ServerOwners.ownerOf(s, members).ifPresent(o -> owners.put(s, o)));
        if (view.isLeaseValid(now())) {
            mAdmission.executeRouterActions(mRouterAdmission.onView(view.epoch(), owners, now()));
        }
    }

    private boolean isOwner(BackendServerId server, Set<VmId> members) {
        return ServerOwners.ownerOf(server, members).equals(Optional.of(mSelf.vm()));
    }

    private void acquireIfOwned(RegisteredServer server, View view) {
        if (isOwner(server.id(), view.memberVms())
                && !mOwnerAdmission.servers().contains(server.id())) {
            mOwnerAdmission.onServerAcquired(server.id(), view.previousLeasesExpiredAtNanos());
            mAdmission.executeOwnerActions(
                    mOwnerAdmission.onAnnouncement(server.announcement(), now()));
            mOwnerAdmission.onSuspect(server.id(), server.suspect());
        }
    }

    // --- Backend servers ------------------------------------------------------------------------

    /** Handles an announcement of a backend server, or forwards it to the owner, and answers it. */
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
                        ? ServerOwners.ownerOf(server, mView.view().orElseThrow().memberVms())
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

    /** Registers an announcement; returns the reason if it is refused. */
    private Optional<String> register(ServerAnnouncement announcement) {
        AnnounceOutcome outcome = mRegistry.onAnnouncement(announcement, now());
        if (outcome instanceof AnnounceOutcome.Refused r) {
            return Optional.of(r.reason());
        }
        if (outcome instanceof AnnounceOutcome.Accepted a) {
            BackendServerId id = BackendServerId.of(announcement.getServer());
            track(id);
            mView.view()
                    .filter(v -> v.isLeaseValid(now()))
                    .ifPresent(v -> acquireIfOwned(mRegistry.servers().get(id), v));
            mAdmission.executeOwnerActions(mOwnerAdmission.onAnnouncement(announcement, now()));
            onEvents(a.events());
        }
        return Optional.empty();
    }

    private void track(BackendServerId server) {
        if (mTrackedServers.add(server)) {
            if (mTrackedServers.size() > MAX_TRACKED_SERVERS) {
                mTrackedServers.remove(mTrackedServers.iterator().next());
            }
        }
    }

    /** Records that a server is unreachable and notifies its owner. */
    void onServerUnreachable(BackendServerId server, long incarnation) {
        ServerFailure failure =
                ServerFailure.newBuilder()
                        .setServer(server.value())
                        .setServerIncarnation(incarnation)
                        .build();
        Optional<VmId> owner =
                mView.view().flatMap(v -> ServerOwners.ownerOf(server, v.memberVms()));
        if (owner.isPresent() && !owner.get().equals(mSelf.vm())) {
            mLinks.sendToRouter(
                    owner.get(), Envelope.newBuilder().setServerFailure(failure).build());
        }
        onServerFailure(failure);
    }

    private void onServerFailure(ServerFailure failure) {
        BackendServerId server = BackendServerId.of(failure.getServer());
        RegisteredServer registered = mRegistry.servers().get(server);
        // A failure of an earlier incarnation is no evidence against the current one.
        if (registered != null
                && registered.announcement().getIncarnation() <= failure.getServerIncarnation()) {
            onEvents(mRegistry.onConnectionFailed(server));
        }
    }

    private void onEvents(List<RegistryEvent> events) {
        for (RegistryEvent event : events) {
            if (event instanceof RegistryEvent.Removed r) {
                LOGGER.atInfo().log("event=server_removed server=%s", r.server());
                mOwnerAdmission.onServerReleased(r.server());
                mRouterAdmission.onServerRemoved(r.server());
                mTrackedServers.remove(r.server());
            } else if (event instanceof RegistryEvent.DomainOut d) {
                mOwnerAdmission.setOutOfService(d.out());
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
        mOwnerAdmission.onSuspect(server.id(), server.suspect());
        mRouterAdmission.onServer(toServerInfo(server));
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

    private ServerInfo toServerInfo(RegisteredServer server) {
        ServerAnnouncement a = server.announcement();
        boolean leaving = a.getState() == ServerState.LEAVING;
        return new ServerInfo(
                server.id(),
                a.getIncarnation(),
                a.getAddress(),
                PoolId.of(ModelId.of(a.getModel()), VersionId.of(a.getVersion())),
                !server.cold(),
                a.getWarmLimit(),
                !server.suspect() && !leaving && mRegistry.isEligibleForWork(server.id()));
    }

    /** Takes this router's failure domain out of service or puts it back. */
    void setDomainOutOfService(boolean out) {
        onEvents(mRegistry.setOutOfService(out));
    }
}
