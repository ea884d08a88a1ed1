package org.jacinthwharf.process.router;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.handler.SizeLimitHandler;
import org.jacinthwharf.connection.FirstByteTimes;
import org.jacinthwharf.connection.Links;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.control.ConfigurationFollower;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.membership.DomainView;
import org.jacinthwharf.process.membership.DomainVoters;
import org.jacinthwharf.process.membership.ServerRegistry;
import org.jacinthwharf.process.metrics.AdminServer;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.process.moves.EvidenceSink;
import org.jacinthwharf.process.moves.VersionDriver;
import org.jacinthwharf.process.settings.RouterSettings;
import org.jacinthwharf.request.admission.CostEstimator;
import org.jacinthwharf.request.admission.OwnerAdmission;
import org.jacinthwharf.request.admission.QueueLimits;
import org.jacinthwharf.request.admission.RouterAdmission;
import org.jacinthwharf.request.admission.ServiceLedger;
import org.jacinthwharf.request.outcome.CallKind;
import org.jacinthwharf.request.outcome.RequestAttempts;
import org.jacinthwharf.request.outcome.RetryBudget;
import org.jacinthwharf.version.EvidenceAggregator;
import org.jacinthwharf.version.LocalVerdict;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.Hello;
import org.jacinthwharf.wire.generated.PoolOffer;

/**
 * A router process: HTTP edge, links, and the decisions on one event loop.
 *
 * <p>{@link #start} and {@link #stop} are called once each, from a thread other than the event
 * loop; everything else runs on the loop. Invariant: the process holds no state that it could not
 * rebuild after a restart.
 */
public final class RouterProcess implements RequestServices, CallerHandler.RequestSink {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration VIEW_TICK = Duration.ofMillis(100);
    private static final Duration SECOND = Duration.ofSeconds(1);
    // In cost units; stands for a customer's mean until its first request has ended.
    private static final double DEFAULT_COST = 64;

    private final RouterSettings mSettings;
    private final RouterIncarnation mSelf;
    private final EventLoop mLoop;
    private final FleetMetrics mMetrics;
    private final Links mNetwork;
    private final PeerLinks mLinks;
    private final HttpClient mHttpClient;
    private final Server mHttpServer;
    private final AdminServer mAdmin;
    private final BackendClient mClient;
    private final ClaimClient mClaims;
    private final ServiceExchange mExchange;
    private final OwnerAdmission mOwner;
    private final RouterAdmission<RequestRun> mRouter;
    private final AdmissionDriver mAdmission;
    private final MembershipDriver mMembership;
    private final ConfigurationDriver mConfiguration;
    private final VersionDriver mVersions;
    private final FirstByteTimes mFirstByteTimes = new FirstByteTimes();
    private final CostEstimator mEstimator = new CostEstimator(DEFAULT_COST);
    private final RetryBudget mBudget;
    private final RequestRuns mRuns = new RequestRuns();
    private final AtomicLong mIds = new AtomicLong();
    private volatile boolean mDraining;
    private boolean mLeaving;

    /**
     * Creates a process that is not started.
     *
     * @param loop runs all decisions
     */
    public RouterProcess(RouterSettings settings, EventLoop loop, FleetMetrics metrics) {
        mSettings = settings;
        mLoop = loop;
        mMetrics = metrics;
        mSelf = RouterIncarnation.of(VmId.of(settings.vmId()), loop.nowMillis());
        FailureDomainId domain = FailureDomainId.of(settings.failureDomain());
        List<VmId> domainRouters =
                settings.routers().stream()
                        .filter(r -> r.failureDomain().equals(settings.failureDomain()))
                        .map(r -> VmId.of(r.vmId()))
                        .toList();
        long now = loop.nowNanos();
        mNetwork = new Links(hello(), loop, metrics);
        mLinks = new PeerLinks(settings, mNetwork, this::dispatch);
        ServiceLedger ledger =
                new ServiceLedger(mSelf.toString(), ServiceExchange.INTERVAL.toNanos());
        mExchange =
                new ServiceExchange(ledger, mLinks, loop, settings.routers().size(), DEFAULT_COST);
        mOwner = new OwnerAdmission(mSelf, domain, settings.region());
        mRouter =
                new RouterAdmission<>(
                        mSelf,
                        domain,
                        settings.region(),
                        domainRouters.size(),
                        new QueueLimits(
                                settings.limits().maxQueuedPerCustomer(),
                                settings.limits().maxQueued()),
                        ledger,
                        run -> run.request().idempotent());
        mAdmission = new AdmissionDriver(mRouter, mOwner, loop, metrics, this::send, this::publish);
        mMembership =
                new MembershipDriver(
                        mSelf,
                        new DomainView(
                                DomainVoters.of(domain, domainRouters),
                                mSelf,
                                new SplittableRandom(mSelf.incarnation()),
                                now),
                        new ServerRegistry(domain),
                        mOwner,
                        mRouter,
                        mAdmission,
                        mLinks,
                        loop,
                        metrics);
        mConfiguration =
                new ConfigurationDriver(
                        mSelf.vm(),
                        domain,
                        new ConfigurationFollower(now),
                        ledger,
                        mRouter,
                        mMembership,
                        mLinks,
                        loop);
        EvidenceAggregator ownAggregator = new EvidenceAggregator(mSelf.incarnation());
        mVersions =
                new VersionDriver(
                        mSelf,
                        ownAggregator,
                        new LocalVerdict(ownAggregator, settings.routers().size()),
                        mLinks::sendToAllControl,
                        mLinks::linkedRouters,
                        loop);
        mClaims = new ClaimClient(mLinks, loop);
        mBudget = new RetryBudget(now);
        HttpEdge edge = new HttpEdge();
        mHttpClient = edge.newClient();
        mClient = new BackendClient(mHttpClient, loop);
        mHttpServer = edge.newServer(settings.listen().http(), settings.limits(), metrics);
        SizeLimitHandler bodyLimit = new SizeLimitHandler(settings.limits().maxBodyBytes(), -1);
        bodyLimit.setHandler(
                new CallerHandler(
                        new RequestParser(settings.limits(), this::newRequestId),
                        settings.limits(),
                        loop,
                        metrics,
                        this));
        mHttpServer.setHandler(bodyLimit);
        RouterStatus status =
                new RouterStatus(mSelf, mConfiguration, mMembership, mRouter, mRuns, ledger);
        mAdmin =
                new AdminServer(
                        settings.listen().admin().toSocketAddress(),
                        metrics,
                        () -> !mDraining && mConfiguration.isServing(),
                        () -> CompletableFuture.supplyAsync(status::toJson, loop));
    }

    private Hello hello() {
        return Hello.newBuilder()
                .setVmId(mSelf.vm().value())
                .setIncarnation(mSelf.incarnation())
                .setFailureDomain(mSettings.failureDomain())
                .setRole("router")
                .build();
    }

    private RequestId newRequestId() {
        return RequestId.of(mSelf.vm() + "." + mSelf.incarnation() + "." + mIds.incrementAndGet());
    }

    /**
     * Opens all ports and starts to serve.
     *
     * @throws IOException if a port cannot be bound
     */
    public void start() throws IOException {
        mLinks.onControlUp(mConfiguration::onControlUp);
        mLinks.onControlDown(mConfiguration::onControlDown);
        mLinks.onRouterLost(
                vm -> mAdmission.runOwner(mOwner.onRouterLost(vm, mLoop.nowNanos())), mLoop);
        mLinks.onRouterBack(mExchange::onRouterBack);
        mLinks.open();
        mLoop.scheduleRepeatedly(VIEW_TICK, this::frequentTick);
        mLoop.scheduleRepeatedly(ServiceExchange.INTERVAL, this::exchangeTick);
        mLoop.scheduleRepeatedly(SECOND, this::secondTick);
        try {
            mHttpClient.start();
            mHttpServer.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            // Jetty declares Exception; a port that is in use is the only expected cause.
            throw new IOException("cannot start the HTTP edge", e);
        }
        mAdmin.start();
        LOGGER.atInfo().log(
                "event=router_started vm=%s incarnation=%d failure_domain=%s http=%s",
                mSelf.vm(),
                mSelf.incarnation(),
                mSettings.failureDomain(),
                mSettings.listen().http());
    }

    private void frequentTick() {
        mMembership.tick();
        mRuns.tick();
    }

    private void exchangeTick() {
        mAdmission.tick();
        mExchange.tick(mRuns.size());
    }

    private void secondTick() {
        mConfiguration.tick();
        mConfiguration.configuration().ifPresent(mVersions::tick);
        mConfiguration
                .configuration()
                .ifPresent(
                        c -> c.getCustomersList().forEach(x -> mExchange.onWeight(x.getWeight())));
    }

    // --- Messages -------------------------------------------------------------------------------

    private void send(VmId to, Envelope message) {
        if (to.equals(mSelf.vm())) {
            mLoop.execute(() -> dispatch(to, message));
        } else {
            mLinks.sendToRouter(to, message);
        }
    }

    private void publish(PoolOffer offer) {
        Envelope message = Envelope.newBuilder().setPoolOffer(offer).build();
        mLoop.execute(() -> dispatch(mSelf.vm(), message));
        mLinks.linkedRouters().forEach(r -> mLinks.sendToRouter(r, message));
    }

    private void dispatch(VmId from, Envelope message) {
        if (mAdmission.onMessage(message) || mMembership.onMessage(message)) {
            return;
        }
        switch (message.getPayloadCase()) {
            case SERVICE_TOTALS -> mExchange.onTotals(message.getServiceTotals());
            case CONFIGURATION_PUSH -> mConfiguration.onPush(from, message.getConfigurationPush());
            case REVISION_REPORT -> mConfiguration.onPeerRevision(message.getRevisionReport());
            case CLAIM_REPLY -> mClaims.onReply(from, message.getClaimReply());
            case CLAIM_END_REPLY -> mClaims.onEndReply(message.getClaimEndReply());
            default ->
                    LOGGER.atFine().log(
                            "event=message_ignored from=%s payload=%s",
                            from, message.getPayloadCase());
        }
    }

    // --- Requests -------------------------------------------------------------------------------

    @Override
    public void onRequest(CallerRequest request, CallerExchange exchange) {
        Optional<RefusalReason> refusal = refusalOf(request);
        if (refusal.isPresent()) {
            mMetrics.countRefusal(refusal.get());
            exchange.refuse(
                    refusal.get(),
                    true,
                    "customer " + request.customer() + ", model " + request.model());
            return;
        }
        long now = mLoop.nowNanos();
        CallKind kind =
                request.idempotent()
                        ? CallKind.IDEMPOTENT
                        : request.key().isPresent() ? CallKind.KEYED : CallKind.UNKEYED;
        RequestAttempts attempts =
                new RequestAttempts(
                        request.id(),
                        kind,
                        now + TimeUnit.MILLISECONDS.toNanos(request.deadlineMillis()),
                        mBudget,
                        () -> mSelf + "/" + mIds.incrementAndGet());
        RequestRun run = new RequestRun(request, exchange, this, attempts, now);
        mRuns.add(run);
        run.start();
    }

    private Optional<RefusalReason> refusalOf(CallerRequest request) {
        if (mLeaving) {
            return Optional.of(RefusalReason.DRAINING);
        }
        if (mConfiguration.revision() == 0) {
            return Optional.of(RefusalReason.NOT_READY);
        }
        if (!mConfiguration.isCustomer(request.customer())) {
            return Optional.of(RefusalReason.UNKNOWN_CUSTOMER);
        }
        if (mConfiguration.model(request.model()).isEmpty()) {
            return Optional.of(RefusalReason.UNKNOWN_MODEL);
        }
        return Optional.empty();
    }

    @Override
    public void onAnnouncement(ByteString body, CallerExchange exchange) {
        mMembership.onAnnouncement(body, exchange);
    }

    @Override
    public boolean isDraining() {
        return mDraining;
    }

    // --- Services of a request ------------------------------------------------------------------

    @Override
    public RouterIncarnation self() {
        return mSelf;
    }

    @Override
    public EventLoop loop() {
        return mLoop;
    }

    @Override
    public FleetMetrics metrics() {
        return mMetrics;
    }

    @Override
    public BackendClient client() {
        return mClient;
    }

    @Override
    public ClaimClient claims() {
        return mClaims;
    }

    @Override
    public AdmissionDriver admission() {
        return mAdmission;
    }

    @Override
    public EvidenceSink evidence() {
        return mVersions;
    }

    @Override
    public FirstByteTimes firstByteTimes() {
        return mFirstByteTimes;
    }

    @Override
    public PoolId poolForRepeat(CallerRequest request) {
        return VersionDriver.chooseForRetry(mConfiguration.model(request.model()).orElseThrow());
    }

    @Override
    public PoolId poolFor(CallerRequest request) {
        return mVersions.choose(
                mConfiguration.model(request.model()).orElseThrow(), request.id(), request.route());
    }

    @Override
    public double estimate(CallerRequest request) {
        return mEstimator.estimate(request.customer(), request.routeKey(), request.costHint());
    }

    @Override
    public void recordCost(CallerRequest request, double cost) {
        mEstimator.record(request.customer(), request.routeKey(), cost);
        mExchange.onCost(cost);
    }

    @Override
    public void suspect(BackendServerId server, long incarnation) {
        mMembership.onConnectionFailed(server, incarnation);
    }

    @Override
    public void onEnd(RequestRun run) {
        mRuns.remove(run);
    }

    // --- Planned stop ---------------------------------------------------------------------------

    /**
     * Stops without cutting a request: readiness goes first, then open requests finish, then links
     * and ports close. Returns after at most the drain delay plus the longest deadline.
     */
    public void stop() {
        LOGGER.atInfo().log("event=router_draining vm=%s", mSelf.vm());
        mDraining = true;
        new PlannedStop(mSettings.limits(), mHttpServer, mHttpClient)
                .run(this::openRequests, () -> onLoop(this::leave), mNetwork::close);
        mAdmin.close();
        LOGGER.atInfo().log("event=router_stopped vm=%s open=%d", mSelf.vm(), openRequests());
    }

    private void onLoop(Runnable task) {
        CompletableFuture.runAsync(task, mLoop).join();
    }

    /** Gives up the lease; whoever still sends on an open connection hears "not run". */
    private void leave() {
        mLeaving = true;
        mMembership.leave();
    }

    private int openRequests() {
        return CompletableFuture.supplyAsync(mRuns::size, mLoop).join();
    }
}
