package org.jacinthwharf.process.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.jacinthwharf.connection.HttpAnswer;
import org.jacinthwharf.connection.HttpCall;
import org.jacinthwharf.connection.HttpEndpoint;
import org.jacinthwharf.connection.Links;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.control.ConfigurationFollower;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.loop.NettyEventLoop;
import org.jacinthwharf.process.membership.DirectoryMessages;
import org.jacinthwharf.process.membership.ServerDirectory;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.metrics.MetricsText;
import org.jacinthwharf.process.moves.VersionDriver;
import org.jacinthwharf.process.settings.NodeSettings;
import org.jacinthwharf.request.admission.ServiceLedger;
import org.jacinthwharf.request.dispatch.BackendServer;
import org.jacinthwharf.request.dispatch.ColdPermits;
import org.jacinthwharf.request.dispatch.DispatchAction;
import org.jacinthwharf.request.dispatch.DispatchHealth;
import org.jacinthwharf.request.dispatch.DispatchRequest;
import org.jacinthwharf.request.dispatch.Dispatcher;
import org.jacinthwharf.request.dispatch.FleetRetryBudget;
import org.jacinthwharf.request.dispatch.ServerTable;
import org.jacinthwharf.version.EvidenceAggregator;
import org.jacinthwharf.version.LocalVerdict;
import org.jacinthwharf.wire.generated.DirectoryUpdate;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.Hello;

/**
 * A gateway process: connections of callers and to backend servers, links to control, and the
 * decisions, all on one event loop.
 *
 * <p>{@link #start} and {@link #stop} are called once each, from a thread other than the event
 * loop. Invariant: the process holds no state that it could not rebuild after a restart.
 */
public final class GatewayProcess implements GatewayServices {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration CALL_TICK = Duration.ofMillis(25);
    private static final Duration LOAD_TICK = Duration.ofMillis(20);
    private static final Duration JUDGE_TICK = Duration.ofMillis(250);
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final int ACCEPT_QUEUE = 1_024;

    /** Routers that share the false alarm rate of a version move; any of them can end it. */
    private static final int LOCAL_VERDICTS = 100;

    private final NodeSettings mSettings;
    private final EdgeDialect mDialect;
    private final NettyEventLoop mLoop;
    private final FleetMetrics mMetrics;
    private final RouterIncarnation mSelf;
    private final Links mLinks;
    private final ControlContacts mControl;
    private final GatewayConfiguration mConfiguration;
    private final DirectoryFollower mDirectory;
    private final ServerTable mServerTable = new ServerTable();
    private final ColdPermits mCold;
    private final DispatchHealth mHealth;
    private final Dispatcher<ForwardedCall> mDispatcher;
    private final FleetRetryBudget mBudget;
    private final VersionDriver mVersions;
    private final VersionRules mVersionRules;
    private final LoadExchange mLoad;
    private final ServerPool mPool;
    private final CallIntake mIntake;
    private final HttpEndpoint mReady;
    private final HttpEndpoint mMetricsEndpoint;
    private final Set<ForwardedCall> mCalls = new HashSet<>();
    private final Set<CallerConnection> mCallers = new HashSet<>();
    private Channel mListener;
    private boolean mPlacing;
    private volatile boolean mDraining;
    private volatile boolean mRefusing;

    /** Creates a process that is not started. */
    public GatewayProcess(
            NodeSettings settings, EdgeDialect dialect, NettyEventLoop loop, FleetMetrics metrics) {
        mSettings = settings;
        mDialect = dialect;
        mLoop = loop;
        mMetrics = metrics;
        mSelf = RouterIncarnation.of(settings.self(), loop.nowMillis());
        mLinks = new Links(hello(), loop, metrics, loop.group());
        mControl = new ControlContacts(settings, mLinks, new ControlMessages());
        mConfiguration =
                new GatewayConfiguration(
                        settings.self(),
                        new ConfigurationFollower(loop.nowNanos()),
                        mControl::send,
                        loop);
        mDirectory = new DirectoryFollower(new ServerDirectory(), mServerTable, loop);
        mCold = new ColdPermits(settings.vmId());
        mHealth = new DispatchHealth(millisToNanos(settings.bounds().announceMillis()));
        EvidenceAggregator ownAggregator = new EvidenceAggregator(mSelf.incarnation());
        mVersions =
                new VersionDriver(
                        mSelf,
                        ownAggregator,
                        new LocalVerdict(ownAggregator, LOCAL_VERDICTS),
                        mControl::sendToAll,
                        this::otherGateways,
                        loop);
        mVersionRules = new VersionRules(mConfiguration::model, mVersions);
        SplittableRandom random = new SplittableRandom(mSelf.hashCode() ^ loop.nowNanos());
        ServiceLedger ledger =
                new ServiceLedger(
                        mSelf.toString(), LOAD_TICK.toNanos() * LoadExchange.TICKS_PER_TOTALS);
        mDispatcher =
                new Dispatcher<>(
                        mServerTable,
                        settings.failureDomain(),
                        mCold,
                        mHealth,
                        ledger,
                        mVersionRules,
                        mConfiguration::serviceObjectives,
                        random);
        mBudget =
                new FleetRetryBudget(
                        settings.bounds().retryRatio(),
                        settings.bounds().retrySlack(),
                        millisToNanos(settings.bounds().retryWindowMillis()));
        mLoad =
                new LoadExchange(
                        mServerTable, mControl, mCold, mBudget, settings.self(), ledger, loop);
        mPool = new ServerPool(loop.group(), loop, metrics);
        mIntake = new CallIntake(mConfiguration, mBudget, random, this);
        mReady = new HttpEndpoint(loop.group(), this::answerReady);
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
     * Opens all ports and starts to serve.
     *
     * @throws IOException if a port cannot be bound
     */
    public void start() throws IOException {
        if (mSettings.listen().http().isEmpty()) {
            throw new IOException("listen.http must be given");
        }
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(mLoop.group())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new CallerPipeline(
                                        mConfiguration, mIntake, () -> mDraining, mCallers))
                        .bind(mSettings.listen().http().get().toSocketAddress())
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + mSettings.listen().http(), bound.cause());
        }
        mListener = bound.channel();
        if (mSettings.listen().ready().isPresent()) {
            mReady.listen(mSettings.listen().ready().get().toSocketAddress());
        }
        if (mSettings.listen().metrics().isPresent()) {
            mMetricsEndpoint.listen(mSettings.listen().metrics().get().toSocketAddress());
        }
        mLoop.execute(mControl::open);
        mLoop.scheduleRepeatedly(CALL_TICK, this::tickCalls);
        mLoop.scheduleRepeatedly(LOAD_TICK, this::tickLoad);
        mLoop.scheduleRepeatedly(JUDGE_TICK, () -> mDispatcher.judgeServers(mLoop.nowNanos()));
        mLoop.scheduleRepeatedly(SECOND, this::tickSecond);
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
        mLoop.execute(() -> mControl.setSeeds(settings.seedVms()));
    }

    // --- Stop -----------------------------------------------------------------------------------

    /** Stops without cutting a request; returns when the process may end. */
    public void stop() {
        GatewayStop stop = new GatewayStop(mSettings.bounds().stopGraceMillis());
        LOGGER.atInfo().log("event=gateway_stopping vm=%s", mSettings.vmId());
        mDraining = true;
        stop.run(
                () ->
                        CompletableFuture.supplyAsync(
                                        () -> {
                                            closeIdleCallers();
                                            return mCalls.size();
                                        },
                                        mLoop)
                                .join(),
                () -> {
                    mRefusing = true;
                    mListener.close();
                });
        mReady.close();
        mLinks.close();
        LOGGER.atInfo().log("event=gateway_stopped vm=%s", mSettings.vmId());
    }

    private void closeIdleCallers() {
        long now = mLoop.nowNanos();
        ImmutableList.copyOf(mCallers).stream()
                .filter(c -> c.idleSinceNanos() < now - GatewayStop.IDLE_NANOS)
                .forEach(CallerConnection::close);
    }

    // --- Time -----------------------------------------------------------------------------------

    private void tickCalls() {
        long now = mLoop.nowNanos();
        for (ForwardedCall call : ImmutableList.copyOf(mCalls)) {
            boolean silent = call.server().filter(s -> mHealth.isSilent(s, now)).isPresent();
            call.tick(now, silent);
        }
        place();
    }

    private void tickLoad() {
        mLoad.tick();
    }

    private void tickSecond() {
        if (mConfiguration.tick()) {
            onConfiguration();
        }
        mHealth.onControlContact(!mControl.isEmpty(), mLoop.nowNanos());
        mConfiguration.configuration().ifPresent(mVersions::tick);
        mPool.sweep();
        mServerTable.removeGone();
        mIntake.sweep(mCallers, mLoop.nowNanos());
    }

    private void onConfiguration() {
        mHealth.setClosedDomains(mConfiguration.closedDomains());
        place();
    }

    private Set<VmId> otherGateways() {
        return mLoad.otherGateways();
    }

    // --- Messages -------------------------------------------------------------------------------

    private final class ControlMessages implements ControlContacts.Listener {
        @Override
        public void onUp(VmId member) {
            mHealth.onControlContact(true, mLoop.nowNanos());
            mConfiguration.onUp(member);
        }

        @Override
        public void onDown(VmId member) {
            mConfiguration.onDown(member);
            mHealth.onControlContact(!mControl.isEmpty(), mLoop.nowNanos());
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
                    mControl.setMembers(members);
                }
                case DIRECTORY_UPDATE -> {
                    DirectoryUpdate update = message.getDirectoryUpdate();
                    mDirectory.onUpdate(update);
                    mControl.send(member, DirectoryMessages.ack(update.getNumber()));
                    place();
                }
                case FLEET_LOAD -> {
                    mLoad.onFleetLoad(member, message.getFleetLoad());
                    place();
                }
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

    // --- Services of a call ---------------------------------------------------------------------

    @Override
    public EventLoop loop() {
        return mLoop;
    }

    @Override
    public FleetMetrics metrics() {
        return mMetrics;
    }

    @Override
    public EdgeDialect dialect() {
        return mDialect;
    }

    @Override
    public ServerPool pool() {
        return mPool;
    }

    /** Returns whether so little is left of a planned stop that a new call might be cut. */
    boolean isRefusing() {
        return mRefusing;
    }

    /** Takes a call that was decoded. */
    void add(ForwardedCall call) {
        mCalls.add(call);
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
    public boolean tryRepeat(String service) {
        return mBudget.tryRepeat(service, mLoop.nowNanos());
    }

    @Override
    public void onPlaceFree() {
        if (mDispatcher.waiting() > 0 && !mPlacing) {
            mPlacing = true;
            mLoop.execute(
                    () -> {
                        mPlacing = false;
                        place();
                    });
        }
    }

    private void place() {
        if (mDispatcher.waiting() > 0) {
            execute(mDispatcher.run(mLoop.nowNanos()));
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
    public void onSent(BackendServer server, DispatchRequest request) {
        mVersionRules.onSent(server, request);
    }

    @Override
    public void onServerEnd(
            BackendServer server, DispatchRequest request, Optional<Boolean> good, long millis) {
        mVersionRules.onEnd(server, request, good, millis);
    }

    @Override
    public void onEnd(ForwardedCall call) {
        mCalls.remove(call);
    }
}
