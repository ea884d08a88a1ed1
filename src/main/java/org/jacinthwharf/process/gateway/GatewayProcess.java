package org.jacinthwharf.process.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.jacinthwharf.connection.BufferBudget;
import org.jacinthwharf.connection.HttpAnswer;
import org.jacinthwharf.connection.HttpCall;
import org.jacinthwharf.connection.HttpEndpoint;
import org.jacinthwharf.connection.Links;
import org.jacinthwharf.connection.ListeningPort;
import org.jacinthwharf.connection.Uploads;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.control.ConfigurationFollower;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.loop.NettyEventLoop;
import org.jacinthwharf.process.membership.DirectoryMessages;
import org.jacinthwharf.process.membership.ServerDirectory;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.metrics.MetricsText;
import org.jacinthwharf.process.moves.EvidenceSink.AttemptResult;
import org.jacinthwharf.process.moves.VersionDriver;
import org.jacinthwharf.process.settings.NodeSettings;
import org.jacinthwharf.request.admission.ServiceLedger;
import org.jacinthwharf.request.dispatch.BackendServer;
import org.jacinthwharf.request.dispatch.DispatchAction;
import org.jacinthwharf.request.dispatch.DispatchHealth;
import org.jacinthwharf.request.dispatch.DispatchRequest;
import org.jacinthwharf.request.dispatch.Dispatcher;
import org.jacinthwharf.request.dispatch.FleetRetryBudget;
import org.jacinthwharf.request.dispatch.GatewayRanks;
import org.jacinthwharf.request.dispatch.ServerPermits;
import org.jacinthwharf.request.dispatch.ServerTable;
import org.jacinthwharf.version.EvidenceAggregator;
import org.jacinthwharf.version.LocalVerdict;
import org.jacinthwharf.wire.generated.DirectoryUpdate;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.Hello;

/**
 * A gateway process. Serves caller connections, backend server connections and links to the control
 * members, and dispatches requests, all on one event loop.
 *
 * <p>{@link #start} and {@link #stop} are called once each, from a thread other than the event
 * loop. Invariant: all state can be rebuilt after a restart.
 */
public final class GatewayProcess implements GatewayContext {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** One timer for calls and load, since each wake-up of an idle gateway costs as much. */
    static final Duration TICK = Duration.ofMillis(20);

    private static final Duration OUTLIER_TICK = Duration.ofMillis(250);
    private static final Duration MAINTENANCE_TICK = Duration.ofSeconds(1);

    /**
     * Number of routers that the false alarm rate of a version move is divided among, since any one
     * of them can end the move.
     */
    private static final int VERDICT_ROUTERS = 100;

    private final NodeSettings mSettings;
    private final HeaderCodec mHeaderCodec;
    private final NettyEventLoop mLoop;
    private final FleetMetrics mMetrics;
    private final RouterIncarnation mSelf;
    private final Links mLinks;
    private final ControlLinks mControlLinks;
    private final GatewayConfiguration mConfiguration;
    private final DirectoryFollower mDirectory;
    private final ServerTable mServerTable = new ServerTable();
    private final GatewayRanks mRanks;
    private final DispatchHealth mHealth;
    private final ServiceLedger mLedger;
    private final Dispatcher<ForwardedCall> mDispatcher;
    private final FleetRetryBudget mRetryBudget;
    private final GatewayActivity mActivity;
    private final VersionDriver mVersionDriver;
    private final VersionSelector mVersionSelector;
    private final LoadExchange mLoadExchange;
    private final ServerStatements mServerStatements;
    private final ServerPool mPool;
    private final LoadShedder mLoadShedder;
    private final CrashCheck mCrashCheck;
    private final CrashGuard mCrashGuard;
    private final CallerRequestHandler mRequestHandler;
    private final HttpEndpoint mReadyEndpoint;
    private final HttpEndpoint mMetricsEndpoint;
    private final BufferBudget mBufferBudget = BufferBudget.ofProcess();
    private final Set<ForwardedCall> mCalls = new HashSet<>();
    private final CallerConnections mCallers;
    private final Optional<Metering> mMetering;
    private Channel mListener;
    private boolean mDispatchScheduled;
    private LoopDelay mLoopDelay;
    private volatile boolean mDraining;
    private volatile boolean mRefusing;
    private volatile long mStopNanos = Long.MAX_VALUE;

    /** Creates a process; {@link #start} opens its ports. */
    public GatewayProcess(
            NodeSettings settings,
            HeaderCodec headerCodec,
            NettyEventLoop loop,
            FleetMetrics metrics) {
        mSettings = settings;
        mHeaderCodec = headerCodec;
        mLoop = loop;
        mMetrics = metrics;
        mCallers = new CallerConnections(settings.maxDescriptors(), metrics);
        mSelf = RouterIncarnation.of(settings.self(), loop.nowMillis());
        mLinks = new Links(hello(), loop, metrics, loop.group());
        mControlLinks = new ControlLinks(settings, mLinks, new ControlMessages());
        mConfiguration =
                new GatewayConfiguration(
                        settings.self(),
                        new ConfigurationFollower(loop.nowNanos()),
                        mControlLinks::send,
                        loop);
        mDirectory =
                new DirectoryFollower(
                        new ServerDirectory(mServerTable::forget),
                        mServerTable,
                        settings.peer().toSocketAddress().getAddress(),
                        loop);
        mRanks = new GatewayRanks(settings.vmId());
        mHealth = new DispatchHealth(millisToNanos(settings.bounds().announceMillis()));
        EvidenceAggregator ownAggregator = new EvidenceAggregator(mSelf.incarnation());
        mVersionDriver =
                new VersionDriver(
                        mSelf,
                        ownAggregator,
                        new LocalVerdict(ownAggregator, VERDICT_ROUTERS),
                        mControlLinks::sendToAll,
                        this::otherGateways,
                        loop);
        mVersionSelector = new VersionSelector(mConfiguration::model, mVersionDriver);
        SplittableRandom random = new SplittableRandom(mSelf.hashCode() ^ loop.nowNanos());
        mLedger =
                new ServiceLedger(mSelf.toString(), TICK.toNanos() * LoadExchange.TICKS_PER_TOTALS);
        mDispatcher =
                new Dispatcher<>(
                        mServerTable,
                        settings.failureDomain(),
                        new ServerPermits(mRanks),
                        mHealth,
                        mLedger,
                        mVersionSelector,
                        mConfiguration::serviceObjectives,
                        random);
        mRetryBudget =
                new FleetRetryBudget(
                        settings.bounds().retryRatio(),
                        settings.bounds().retrySlack(),
                        millisToNanos(settings.bounds().retryWindowMillis()));
        mActivity = new GatewayActivity(metrics, loop.nowNanos());
        mLoadExchange =
                new LoadExchange(
                        mServerTable,
                        mControlLinks,
                        mRanks,
                        mRetryBudget,
                        settings.self(),
                        mLedger,
                        loop,
                        mActivity);
        mServerStatements = new ServerStatements(mLoadExchange, loop);
        mPool = new ServerPool(loop.group(), loop, metrics, new ReplacementRate());
        mLoadShedder = new LoadShedder(random);
        mCrashCheck = new CrashCheck(loop.group(), loop, metrics);
        mCrashGuard =
                new CrashGuard(mControlLinks, mRanks::isFirst, loop, metrics, this::onConviction);
        mRequestHandler =
                new CallerRequestHandler(mConfiguration, mRetryBudget, mLoadShedder, random, this);
        mMetering =
                settings.duties()
                        .map(d -> new Metering(d, loop, mControlLinks::send, () -> mCalls));
        mReadyEndpoint = new HttpEndpoint(loop.group(), this::answerReady);
        mMetricsEndpoint = new HttpEndpoint(loop.group(), this::answerMetrics);
    }

    private static long millisToNanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private Hello hello() {
        return Hello.newBuilder()
                .setVmId(mSettings.vmId())
                .setIncarnation(mSelf.incarnation())
                .setFailureDomain(mSettings.failureDomain())
                .setRole("gateway")
                .build();
    }

    /**
     * Opens all ports and starts serving.
     *
     * @throws IOException if a port cannot be bound
     */
    public void start() throws IOException {
        if (mSettings.listen().http().isEmpty()) {
            throw new IOException("listen.http must be given");
        }
        mListener =
                ListeningPort.open(
                        mLoop.group(),
                        mSettings.listen().http().get().toSocketAddress(),
                        new CallerPipeline(
                                mConfiguration,
                                mRequestHandler,
                                () -> mDraining,
                                mCallers,
                                new Uploads(mBufferBudget, mLoop::nowNanos)));
        if (mSettings.listen().ready().isPresent()) {
            mReadyEndpoint.listen(mSettings.listen().ready().get().toSocketAddress());
        }
        if (mSettings.listen().metrics().isPresent()) {
            mMetricsEndpoint.listen(mSettings.listen().metrics().get().toSocketAddress());
        }
        mLoop.execute(mControlLinks::open);
        mLoopDelay = new LoopDelay(TICK, mLoop.nowNanos());
        mLoop.scheduleRepeatedly(TICK, this::tick);
        mLoop.scheduleRepeatedly(OUTLIER_TICK, () -> mDispatcher.ejectOutliers(mLoop.nowNanos()));
        mLoop.scheduleRepeatedly(MAINTENANCE_TICK, this::tickMaintenance);
        LOGGER.atInfo().log(
                "event=gateway_started vm=%s incarnation=%d failure_domain=%s seeds=%s",
                mSettings.vmId(),
                mSelf.incarnation(),
                mSettings.failureDomain(),
                mSettings.seeds());
    }

    /** Replaces the seeds by those of new settings. */
    public void onSettings(NodeSettings settings) {
        LOGGER.atInfo().log("event=settings_reloaded seeds=%s", settings.seeds());
        mLoop.execute(() -> mControlLinks.setSeeds(settings.seedVms()));
    }

    // --- Stop -----------------------------------------------------------------------------------

    /**
     * Drains open calls and stops; returns when the process may exit. Calls that are still open
     * when the grace time ends are cut off.
     */
    public void stop() {
        GatewayStop stop = new GatewayStop(mSettings.bounds().stopGraceMillis(), mLoop.nowNanos());
        mStopNanos = stop.endNanos();
        LOGGER.atInfo().log("event=gateway_stopping vm=%s", mSettings.vmId());
        mDraining = true;
        stop.run(
                () -> mRefusing = true,
                () -> CompletableFuture.supplyAsync(this::closeIdleCallers, mLoop).join(),
                () -> CompletableFuture.runAsync(this::endCalls, mLoop).join(),
                mListener::close);
        mReadyEndpoint.close();
        mLinks.close();
        LOGGER.atInfo().log("event=gateway_stopped vm=%s", mSettings.vmId());
    }

    private void endCalls() {
        ImmutableList.copyOf(mCalls).forEach(ForwardedCall::onStop);
    }

    /** Returns how many calls are open and how many requests are arriving. */
    private int closeIdleCallers() {
        long oldest = mLoop.nowNanos() - GatewayStop.MIN_IDLE_NANOS;
        int arriving = 0;
        for (CallerConnection c : mCallers.all()) {
            boolean idle = c.idleSinceNanos() < oldest;
            if (!c.isReceiving() && idle) {
                c.close();
            } else if (c.isReceiving() && !idle) {
                arriving++;
            }
        }
        return mCalls.size() + arriving;
    }

    // --- Periodic tasks -------------------------------------------------------------------------

    private void tick() {
        tickCalls();
        tickLoad();
    }

    private void tickCalls() {
        long now = mLoop.nowNanos();
        long loopDelay = mLoopDelay.onTick(now);
        mActivity.onLoopDelay(loopDelay);
        mLoadShedder.onLoopDelay(loopDelay);
        for (ForwardedCall call : ImmutableList.copyOf(mCalls)) {
            boolean silent = call.server().filter(s -> mHealth.isSilent(s, now)).isPresent();
            call.tick(now, silent);
        }
        dispatchWaiting();
    }

    private void tickLoad() {
        mLoadExchange.tick();
        mCrashGuard.sendChanges();
    }

    private void onConviction() {
        ImmutableList.copyOf(mCalls).forEach(ForwardedCall::onConviction);
    }

    private void tickMaintenance() {
        if (mConfiguration.tick()) {
            onConfiguration();
        }
        mHealth.onControlContact(!mControlLinks.isEmpty(), mLoop.nowNanos());
        mConfiguration.configuration().ifPresent(mVersionDriver::tick);
        mPool.closeExpired();
        mCrashGuard.expire();
        mMetering.ifPresent(m -> m.reporter().tick());
        // Without control nothing is heard of servers, however well they are.
        mServerTable.removeGone(
                mControlLinks.isEmpty()
                        ? Long.MIN_VALUE
                        : mLoop.nowNanos() - ServerDirectory.SILENCE_NANOS);
        mRequestHandler.closeIdle(mCallers.all(), mLoop.nowNanos());
        mActivity.logIfDue(mLoop.nowNanos(), mCalls.size(), mDispatcher.waiting(), mCallers.size());
    }

    private void onConfiguration() {
        mHealth.setClosedDomains(mConfiguration.closedDomains());
        dispatchWaiting();
    }

    private Set<VmId> otherGateways() {
        return mLoadExchange.otherGateways();
    }

    // --- Messages -------------------------------------------------------------------------------

    private final class ControlMessages implements ControlLinks.Listener {
        @Override
        public void onUp(VmId member) {
            mHealth.onControlContact(true, mLoop.nowNanos());
            mCrashGuard.sendAll(member);
            mMetering.ifPresent(m -> m.reporter().onUp(member));
            mConfiguration.onUp(member);
        }

        @Override
        public void onDown(VmId member) {
            mConfiguration.onDown(member);
            mLoadExchange.onDown(member);
            mMetering.ifPresent(m -> m.reporter().onDown(member));
            mCrashGuard.onLinkDown();
            mHealth.onControlContact(!mControlLinks.isEmpty(), mLoop.nowNanos());
        }

        @Override
        public void onMessage(VmId member, Envelope message) {
            switch (message.getPayloadCase()) {
                case CONFIGURATION_PUSH -> {
                    if (mConfiguration.onPush(member, message.getConfigurationPush())) {
                        onConfiguration();
                    }
                }
                case CONTROL_MEMBERS -> {
                    List<VmId> members =
                            message.getControlMembers().getVmIdsList().stream()
                                    .flatMap(id -> VmId.parse(id).stream())
                                    .toList();
                    mControlLinks.setMembers(members);
                }
                case DIRECTORY_UPDATE -> {
                    DirectoryUpdate update = message.getDirectoryUpdate();
                    mDirectory.onUpdate(update);
                    mControlLinks.send(member, DirectoryMessages.ack(update.getNumber()));
                    dispatchWaiting();
                }
                case FLEET_LOAD -> {
                    mLoadExchange.onFleetLoad(member, message.getFleetLoad());
                    mDispatcher.setLoadDelay(mLoadExchange.loadDelayNanos());
                    dispatchWaiting();
                }
                case USAGE_REPORT_ACK ->
                        mMetering.ifPresent(
                                m -> m.reporter().onAck(member, message.getUsageReportAck()));
                case EXPECTED_SERVERS ->
                        mDispatcher.setExpectedServers(
                                message.getExpectedServers(), mLoop.nowNanos());
                case PROMPT_EVIDENCE -> mCrashGuard.onEvidence(message.getPromptEvidence());
                default ->
                        LOGGER.atFine().log(
                                "event=message_ignored from=%s payload=%s",
                                member, message.getPayloadCase());
            }
        }
    }

    // --- Readiness and metrics ------------------------------------------------------------------

    private CompletableFuture<HttpAnswer> answerReady(HttpCall call) {
        boolean ready = !mDraining && mConfiguration.routes().isPresent();
        return CompletableFuture.completedFuture(
                HttpAnswer.text(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
    }

    private CompletableFuture<HttpAnswer> answerMetrics(HttpCall call) {
        return CompletableFuture.completedFuture(MetricsText.answer(mMetrics));
    }

    // --- GatewayContext -------------------------------------------------------------------------

    @Override
    public EventLoop loop() {
        return mLoop;
    }

    @Override
    public FleetMetrics metrics() {
        return mMetrics;
    }

    @Override
    public GatewayActivity activity() {
        return mActivity;
    }

    @Override
    public HeaderCodec headerCodec() {
        return mHeaderCodec;
    }

    @Override
    public ServerPool pool() {
        return mPool;
    }

    @Override
    public CrashGuard crashGuard() {
        return mCrashGuard;
    }

    @Override
    public CrashCheck crashCheck() {
        return mCrashCheck;
    }

    @Override
    public long loopDelayNanos() {
        return mLoopDelay.totalNanos(mLoop.nowNanos());
    }

    @Override
    public boolean isSilent(BackendServer server) {
        return mHealth.isSilent(server, mLoop.nowNanos());
    }

    @Override
    public BufferBudget bufferBudget() {
        return mBufferBudget;
    }

    @Override
    public long stopNanos() {
        return mStopNanos;
    }

    /** Returns the bytes of bodies and answers that are held; called on the event loop only. */
    public long heldBodyBytes() {
        return mBufferBudget.heldBytes();
    }

    /**
     * Returns whether new calls are refused, since the end of a planned stop might cut them off.
     */
    boolean isRefusing() {
        return mRefusing;
    }

    /** Registers and starts a call. */
    void startCall(ForwardedCall call) {
        mCalls.add(call);
        mMetering.ifPresent(m -> m.onAsked(call.dispatch()));
        call.start();
    }

    @Override
    public void submit(ForwardedCall call, DispatchRequest request, Set<String> excluded) {
        long now = mLoop.nowNanos();
        execute(
                excluded.isEmpty()
                        ? mDispatcher.submit(call, request, now)
                        : mDispatcher.resubmit(call, request, excluded, now));
    }

    @Override
    public void cancelWaiting(ForwardedCall call) {
        mDispatcher.cancel(call, call.dispatch().service());
    }

    @Override
    public boolean hasAvailableServer(String service, Set<String> excluded) {
        long now = mLoop.nowNanos();
        return mServerTable.ofService(service).stream()
                .anyMatch(s -> !excluded.contains(s.id()) && mHealth.isAvailable(s, now));
    }

    @Override
    public boolean tryRetry(String service) {
        return mRetryBudget.tryRetry(service, mLoop.nowNanos());
    }

    @Override
    public void onCapacityFreed() {
        if (mDispatcher.waiting() > 0 && !mDispatchScheduled) {
            mDispatchScheduled = true;
            mLoop.execute(
                    () -> {
                        mDispatchScheduled = false;
                        dispatchWaiting();
                    });
        }
    }

    private void dispatchWaiting() {
        if (mDispatcher.waiting() > 0) {
            mActivity.onDispatchRun();
            execute(mDispatcher.dispatchWaiting(mLoop.nowNanos()));
        }
    }

    private void execute(List<DispatchAction<ForwardedCall>> actions) {
        for (DispatchAction<ForwardedCall> action : actions) {
            if (action instanceof DispatchAction.Place<ForwardedCall> p) {
                p.call().onPlaced(p.placement());
            } else if (action instanceof DispatchAction.Refuse<ForwardedCall> r) {
                r.call().onRefused(r.reason(), r.retryAfterMillis());
            }
        }
    }

    @Override
    public void onAnswerHead(BackendServer server, ServerAnswer answer) {
        mServerStatements.onAnswer(server, answer);
    }

    @Override
    public Optional<PoolId> onAttemptStart(BackendServer server, DispatchRequest request) {
        return mVersionSelector.onAttemptStart(server, request);
    }

    @Override
    public void onBegun(DispatchRequest request, Optional<String> customer, long nanos) {
        mMetering.ifPresent(m -> m.onBegun(request, customer, nanos));
    }

    @Override
    public void onAttemptEnd(
            Optional<PoolId> pool, DispatchRequest request, AttemptResult result, long millis) {
        mVersionSelector.onAttemptEnd(pool, request, result, millis);
    }

    @Override
    public double leadTokens(CustomerId customer) {
        return mLedger.leadOverBacklogged(customer);
    }

    @Override
    public void onEnd(ForwardedCall call) {
        mCalls.remove(call);
        mMetering.ifPresent(m -> m.onEnd(call.dispatch()));
    }
}
