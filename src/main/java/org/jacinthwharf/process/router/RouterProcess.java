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
 * A router process: the HTTP server and client, the links to other processes, and all decisions on
 * one event loop.
 *
 * <p>{@link #start} and {@link #stop} are called once each, from a thread other than the event
 * loop; everything else runs on the event loop. Invariant: the process holds no state that it could
 * not rebuild after a restart.
 */
public final class RouterProcess implements RequestContext, CallerHandler.RequestSink {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final Duration SLOW_TICK_INTERVAL = Duration.ofSeconds(1);
    // In cost units; estimate for a customer until its first request has completed.
    private static final double DEFAULT_COST = 64;

    private final RouterSettings mSettings;
    private final RouterIncarnation mSelf;
    private final EventLoop mLoop;
    private final FleetMetrics mMetrics;
    private final Links mLinkTransport;
    private final PeerLinks mPeerLinks;
    private final HttpClient mHttpClient;
    private final Server mHttpServer;
    private final AdminServer mAdmin;
    private final BackendClient mClient;
    private final ClaimClient mClaims;
    private final ServiceExchange mExchange;
    private final OwnerAdmission mOwnerAdmission;
    private final RouterAdmission<RequestExecution> mRouterAdmission;
    private final AdmissionDriver mAdmission;
    private final MembershipDriver mMembership;
    private final ConfigurationDriver mConfiguration;
    private final VersionDriver mVersions;
    private final FirstByteTimes mFirstByteTimes = new FirstByteTimes();
    private final CostEstimator mEstimator = new CostEstimator(DEFAULT_COST);
    private final RetryBudget mRetryBudget;
    private final OpenRequests mOpenRequests = new OpenRequests();
    private final AtomicLong mIdCounter = new AtomicLong();
    private volatile boolean mDraining;
    private boolean mLeaving;

    /**
     * Creates a process without starting it.
     *
     * @param loop event loop that runs all decisions
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
        mLinkTransport = new Links(hello(), loop, metrics);
        mPeerLinks = new PeerLinks(settings, mLinkTransport, this::dispatch);
        ServiceLedger ledger =
                new ServiceLedger(mSelf.toString(), ServiceExchange.INTERVAL.toNanos());
        mExchange =
                new ServiceExchange(
                        ledger, mPeerLinks, loop, settings.routers().size(), DEFAULT_COST);
        mOwnerAdmission = new OwnerAdmission(mSelf, domain, settings.region());
        mRouterAdmission =
                new RouterAdmission<>(
                        mSelf,
                        domain,
                        settings.region(),
                        domainRouters.size(),
                        new QueueLimits(
                                settings.limits().maxQueuedPerCustomer(),
                                settings.limits().maxQueued()),
                        ledger,
                        e -> e.request().idempotent());
        mAdmission =
                new AdmissionDriver(
                        mRouterAdmission,
                        mOwnerAdmission,
                        loop,
                        metrics,
                        this::send,
                        this::publish);
        mMembership =
                new MembershipDriver(
                        mSelf,
                        new DomainView(
                                DomainVoters.of(domain, domainRouters),
                                mSelf,
                                new SplittableRandom(mSelf.incarnation()),
                                now),
                        new ServerRegistry(domain),
                        mOwnerAdmission,
                        mRouterAdmission,
                        mAdmission,
                        mPeerLinks,
                        loop,
                        metrics);
        mConfiguration =
                new ConfigurationDriver(
                        mSelf.vm(),
                        domain,
                        new ConfigurationFollower(now),
                        ledger,
                        mRouterAdmission,
                        mMembership,
                        mPeerLinks,
                        loop);
        EvidenceAggregator ownAggregator = new EvidenceAggregator(mSelf.incarnation());
        mVersions =
                new VersionDriver(
                        mSelf,
                        ownAggregator,
                        new LocalVerdict(ownAggregator, settings.routers().size()),
                        mPeerLinks::sendToAllControl,
                        mPeerLinks::linkedRouters,
                        loop);
        mClaims = new ClaimClient(mPeerLinks, loop);
        mRetryBudget = new RetryBudget(now);
        HttpFactory http = new HttpFactory();
        mHttpClient = http.newClient();
        mClient = new BackendClient(mHttpClient, loop, BackendClient.REQUEST_TIMEOUT);
        mHttpServer = http.newServer(settings.listen().http(), settings.limits(), metrics);
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
                new RouterStatus(
                        mSelf,
                        mConfiguration,
                        mMembership,
                        mRouterAdmission,
                        mOpenRequests,
                        ledger);
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
        return RequestId.of(
                mSelf.vm() + "." + mSelf.incarnation() + "." + mIdCounter.incrementAndGet());
    }

    /**
     * Opens all ports and starts serving requests.
     *
     * @throws IOException if a port cannot be bound
     */
    public void start() throws IOException {
        mPeerLinks.onControlUp(mConfiguration::onControlUp);
        mPeerLinks.onControlDown(mConfiguration::onControlDown);
        mPeerLinks.onRouterLost(
                vm ->
                        mAdmission.executeOwnerActions(
                                mOwnerAdmission.onRouterLost(vm, mLoop.nowNanos())),
                mLoop);
        mPeerLinks.onRouterRecovered(mExchange::onRouterRecovered);
        mPeerLinks.open();
        mLoop.scheduleRepeatedly(TICK_INTERVAL, this::tick);
        mLoop.scheduleRepeatedly(ServiceExchange.INTERVAL, this::exchangeTick);
        mLoop.scheduleRepeatedly(SLOW_TICK_INTERVAL, this::slowTick);
        try {
            mHttpClient.start();
            mHttpServer.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            // Jetty declares Exception; the only expected cause is a port that is already in use.
            throw new IOException("cannot start the HTTP server or client", e);
        }
        mAdmin.start();
        LOGGER.atInfo().log(
                "event=router_started vm=%s incarnation=%d failure_domain=%s http=%s",
                mSelf.vm(),
                mSelf.incarnation(),
                mSettings.failureDomain(),
                mSettings.listen().http());
    }

    private void tick() {
        mMembership.tick();
        mOpenRequests.tick();
    }

    private void exchangeTick() {
        mAdmission.tick();
        mExchange.tick(mOpenRequests.size());
    }

    private void slowTick() {
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
            mPeerLinks.sendToRouter(to, message);
        }
    }

    private void publish(PoolOffer offer) {
        Envelope message = Envelope.newBuilder().setPoolOffer(offer).build();
        mLoop.execute(() -> dispatch(mSelf.vm(), message));
        mPeerLinks.linkedRouters().forEach(r -> mPeerLinks.sendToRouter(r, message));
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
        Optional<RefusalReason> refusal = findRefusal(request);
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
                        mRetryBudget,
                        () -> mSelf + "/" + mIdCounter.incrementAndGet());
        RequestExecution execution = new RequestExecution(request, exchange, this, attempts, now);
        mOpenRequests.add(execution);
        execution.start();
    }

    private Optional<RefusalReason> findRefusal(CallerRequest request) {
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

    // --- RequestContext -------------------------------------------------------------------------

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
    public PoolId choosePoolForRetry(CallerRequest request) {
        return VersionDriver.chooseForRetry(mConfiguration.model(request.model()).orElseThrow());
    }

    @Override
    public PoolId choosePool(CallerRequest request) {
        return mVersions.choose(
                mConfiguration.model(request.model()).orElseThrow(),
                request.streamId(),
                request.route());
    }

    @Override
    public double estimateCost(CallerRequest request) {
        return mEstimator.estimate(request.customer(), request.routeKey(), request.costHint());
    }

    @Override
    public void recordCost(CallerRequest request, double cost) {
        mEstimator.record(request.customer(), request.routeKey(), cost);
        mExchange.onCost(cost);
    }

    @Override
    public void reportUnreachable(BackendServerId server, long incarnation) {
        mMembership.onServerUnreachable(server, incarnation);
    }

    @Override
    public void onRequestEnded(RequestExecution execution) {
        mOpenRequests.remove(execution);
    }

    // --- Graceful shutdown ----------------------------------------------------------------------

    /**
     * Stops without interrupting a request: reports not ready, waits for open requests to finish,
     * then closes links and ports. Waits at most the drain delay plus the longest deadline.
     */
    public void stop() {
        LOGGER.atInfo().log("event=router_draining vm=%s", mSelf.vm());
        mDraining = true;
        new GracefulShutdown(mSettings.limits(), mHttpServer, mHttpClient)
                .run(this::countOpenRequests, () -> runOnLoop(this::leave), mLinkTransport::close);
        mAdmin.close();
        LOGGER.atInfo().log("event=router_stopped vm=%s open=%d", mSelf.vm(), countOpenRequests());
    }

    private void runOnLoop(Runnable task) {
        CompletableFuture.runAsync(task, mLoop).join();
    }

    /**
     * Releases the lease; requests that still arrive on open connections are refused as not run.
     */
    private void leave() {
        mLeaving = true;
        mMembership.leave();
    }

    private int countOpenRequests() {
        return CompletableFuture.supplyAsync(mOpenRequests::size, mLoop).join();
    }
}
