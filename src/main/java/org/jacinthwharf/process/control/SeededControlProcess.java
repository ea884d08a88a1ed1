package org.jacinthwharf.process.control;

import com.google.common.base.Ascii;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.jacinthwharf.connection.HttpAnswer;
import org.jacinthwharf.connection.HttpCall;
import org.jacinthwharf.connection.HttpEndpoint;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.connection.LinkListener;
import org.jacinthwharf.connection.Links;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.consensus.LeaveOutcome;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.duty.DutyDriver;
import org.jacinthwharf.process.duty.OutsideInterface;
import org.jacinthwharf.process.loop.NettyEventLoop;
import org.jacinthwharf.process.membership.DirectoryMessages;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.metrics.MetricsText;
import org.jacinthwharf.process.settings.DutySettings;
import org.jacinthwharf.process.settings.NodeSettings;
import org.jacinthwharf.process.usage.FleetClock;
import org.jacinthwharf.process.usage.UsageCollector;
import org.jacinthwharf.wire.generated.ControlMembers;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.Hello;
import org.jacinthwharf.wire.generated.UsageReport;
import org.jacinthwharf.wire.generated.UsageReportAck;

/**
 * A control process that discovers its group through seeds and serves gateways.
 *
 * <p>{@link #start} and {@link #stop} are called once each, from a thread other than the event
 * loop. Invariant: all decisions are made on the event loop, which also serves all connections.
 */
public final class SeededControlProcess {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration MEMBER_UPDATE_INTERVAL = Duration.ofMillis(500);

    private final NodeSettings mSettings;
    private final NettyEventLoop mLoop;
    private final FleetMetrics mMetrics;
    private final Links mLinks;
    private final LogFactory.OpenLog mOpenLog;
    private final ReplicatedLog mLog;
    private final ConfigurationPublisher mPublisher;
    private final MoveStepProposer mStepProposer;
    private final ClaimRelay mClaims;
    private final ControlMessageDispatcher mDispatcher;
    private final DirectoryService mDirectory;
    private final EvidenceRelay mEvidence;
    private final LoadAggregator mLoadAggregator;
    private final ControlGroupLinks mGroupLinks;
    private final Optional<UsageCollector> mUsage;
    private final Optional<ServerScalingService> mScaling;
    private final Optional<DutyDriver> mDuties;
    private final HttpEndpoint mOperatorEndpoint;
    private final HttpEndpoint mMetricsEndpoint;
    private final Set<Link> mGateways = new HashSet<>();
    private final Set<Link> mLinksUp = new HashSet<>();
    private List<VmId> mSeeds;
    private List<VmId> mDiscovered = List.of();
    private ControlMembers mMembers = ControlMembers.getDefaultInstance();

    /**
     * Creates a process that is not started yet; called on the event loop.
     *
     * @param components consensus, claims, version moves and the witness
     * @param operators creates the handler of operators' HTTP requests
     * @param outside creates the outside interface that the duties of the settings use
     */
    public SeededControlProcess(
            NodeSettings settings,
            NettyEventLoop loop,
            FleetMetrics metrics,
            ControlProcess.Components components,
            Function<FleetControl, Function<HttpCall, CompletableFuture<HttpAnswer>>> operators,
            Function<DutySettings, OutsideInterface> outside) {
        mSettings = settings;
        mLoop = loop;
        mMetrics = metrics;
        mSeeds = settings.seedVms();
        mLinks = new Links(hello(settings, loop.nowMillis()), loop, metrics, loop.group());
        ControlStateMachine state = new ControlStateMachine(components.claims());
        MemberLinks members = new MemberLinks();
        mOpenLog = components.logFactory().open(state, loop, members);
        mLog = mOpenLog.log();
        mPublisher = new ConfigurationPublisher(state, mLog, loop);
        state.setListener(mPublisher);
        mClaims = new ClaimRelay(mLog, loop, members::find);
        mDispatcher =
                new ControlMessageDispatcher(
                        loop,
                        metrics,
                        members,
                        mOpenLog,
                        mPublisher,
                        mClaims,
                        components.planner(),
                        components.witness());
        mLoadAggregator = new LoadAggregator(loop);
        mDirectory = new DirectoryService(mLoadAggregator::isRelayFor, loop);
        mStepProposer =
                new MoveStepProposer(components.planner(), state, mLog, loop, mDirectory::runs);
        mEvidence = new EvidenceRelay(mLoadAggregator::isRelayFor, loop);
        mUsage =
                settings.duties()
                        .map(
                                d ->
                                        new UsageCollector(
                                                d,
                                                state.duties()::nextWindow,
                                                new FleetClock(loop),
                                                loop,
                                                metrics));
        mScaling =
                mUsage.map(
                        u ->
                                new ServerScalingService(
                                        state,
                                        mDirectory,
                                        u,
                                        loop,
                                        settings.bounds().announceMillis(),
                                        mGateways));
        mDuties = settings.duties().map(d -> newDutyDriver(d, state, outside.apply(d)));
        mGroupLinks =
                new ControlGroupLinks(settings, mLinks, new LinkHandler(), mOpenLog::onRefused);
        mOperatorEndpoint =
                new HttpEndpoint(
                        loop.group(),
                        operators.apply(new FleetControl(state, mLog, mDirectory, loop)));
        mMetricsEndpoint =
                new HttpEndpoint(
                        loop.group(),
                        call -> CompletableFuture.completedFuture(MetricsText.answer(metrics)));
    }

    private DutyDriver newDutyDriver(
            DutySettings duties, ControlStateMachine state, OutsideInterface outside) {
        return new DutyDriver(
                mSettings.self(),
                duties,
                state.duties(),
                mLog,
                mLoop,
                outside,
                mUsage.orElseThrow(),
                mScaling.orElseThrow(),
                mMetrics,
                new SplittableRandom(mLoop.nowNanos()));
    }

    private static Hello hello(NodeSettings settings, long nowMillis) {
        return Hello.newBuilder()
                .setVmId(settings.vmId())
                .setIncarnation(nowMillis)
                .setFailureDomain(settings.failureDomain())
                .setRole("control")
                .build();
    }

    /**
     * Binds all ports and starts the periodic tasks.
     *
     * @throws IOException if a port cannot be bound
     */
    public void start() throws IOException {
        try {
            mLinks.accept(mSettings.peer().toSocketAddress(), new LinkHandler()).join();
        } catch (CompletionException e) {
            throw new IOException("cannot listen on " + mSettings.peer(), e.getCause());
        }
        mLoop.execute(this::updateMembers);
        mLoop.scheduleRepeatedly(MEMBER_UPDATE_INTERVAL, this::updateMembers);
        mLoop.scheduleRepeatedly(ConfigurationPublisher.PUSH_INTERVAL, this::tick);
        mScaling.ifPresent(s -> mLoop.scheduleRepeatedly(ServerScalingService.TICK, s::tick));
        mDuties.ifPresent(d -> mLoop.scheduleRepeatedly(DutyDriver.TICK, d::tick));
        mLoop.execute(mDirectory::start);
        mLoop.execute(mEvidence::start);
        if (mSettings.listen().http().isPresent()) {
            mOperatorEndpoint.listen(mSettings.listen().http().get().toSocketAddress());
        }
        if (mSettings.listen().metrics().isPresent()) {
            mMetricsEndpoint.listen(mSettings.listen().metrics().get().toSocketAddress());
        }
        LOGGER.atInfo().log(
                "event=control_member_started vm=%s failure_domain=%s seeds=%s may_found=%b",
                mSettings.vmId(),
                mSettings.failureDomain(),
                mSettings.seeds(),
                mSettings.mayFound());
    }

    private void tick() {
        mPublisher.tick();
        mClaims.tick();
        mStepProposer.tick();
        mMetrics.setStorageFailing(mLog.status().storageFailing());
    }

    private void updateMembers() {
        Set<VmId> targets = new HashSet<>(mSeeds);
        targets.addAll(mDiscovered);
        ControlMembers.Builder builder = ControlMembers.newBuilder();
        mLog.status()
                .members()
                .forEach(
                        m -> {
                            VmId.parse(m.getVmId()).ifPresent(targets::add);
                            builder.addVmIds(m.getVmId());
                        });
        mGroupLinks.setTargets(targets);
        ControlMembers members = builder.build();
        if (!members.equals(mMembers)) {
            mMembers = members;
            mLinksUp.forEach(this::sendMembers);
        }
    }

    private void sendMembers(Link link) {
        if (mMembers.getVmIdsCount() > 0) {
            link.send(Envelope.newBuilder().setControlMembers(mMembers).build());
        }
    }

    /** Replaces the seeds by those of the new settings. */
    public void onSettings(NodeSettings settings) {
        LOGGER.atInfo().log("event=settings_reloaded seeds=%s", settings.seeds());
        mLoop.execute(() -> mSeeds = settings.seedVms());
    }

    /**
     * Leaves the control group and stops the process; the event loop stays open, since the caller
     * owns it.
     */
    public void stop() {
        leaveGroup();
        mOperatorEndpoint.close();
        mLinks.close();
        CompletableFuture.runAsync(mOpenLog::close, mLoop).join();
        mMetricsEndpoint.close();
        LOGGER.atInfo().log("event=control_member_stopped vm=%s", mSettings.vmId());
    }

    /** Waits until this member has left the group, or until it is not worth waiting. */
    private void leaveGroup() {
        // The other half of the grace time is for the end of the process.
        Duration limit = Duration.ofMillis(mSettings.bounds().stopGraceMillis() / 2);
        LeaveOutcome outcome =
                CompletableFuture.supplyAsync(() -> mOpenLog.leave(limit), mLoop)
                        .thenCompose(leaving -> leaving)
                        .join();
        LOGGER.atInfo().log(
                "event=control_member_leaving vm=%s outcome=%s",
                mSettings.vmId(), Ascii.toLowerCase(outcome.name()));
    }

    /** Handles directory, load and membership messages, and delegates all others. */
    private final class LinkHandler implements LinkListener {
        @Override
        public void onUp(Link link) {
            mLinksUp.add(link);
            mEvidence.onUp(link);
            sendMembers(link);
            mDirectory.onUp(link);
            if (isGateway(link)) {
                mGateways.add(link);
                mLoadAggregator.onUp(link);
            }
            mDispatcher.onUp(link);
        }

        @Override
        public void onDown(Link link) {
            mLinksUp.remove(link);
            mEvidence.onDown(link);
            mGateways.remove(link);
            mDirectory.onDown(link);
            mLoadAggregator.onDown(link);
            mDispatcher.onDown(link);
        }

        @Override
        public void onMessage(Link link, Envelope message) {
            switch (message.getPayloadCase()) {
                case DIRECTORY_UPDATE -> {
                    mDirectory.onMemberUpdate(message.getDirectoryUpdate(), mGateways);
                    link.send(DirectoryMessages.ack(message.getDirectoryUpdate().getNumber()));
                }
                case DIRECTORY_ACK -> mDirectory.onAck(link, message.getDirectoryAck().getNumber());
                case GATEWAY_LOAD -> mLoadAggregator.onLoad(link, message.getGatewayLoad());
                case PROMPT_EVIDENCE -> {
                    if (isGateway(link)) {
                        mEvidence.onGatewayEvidence(link, message.getPromptEvidence(), mLinksUp);
                    } else {
                        mEvidence.onMemberEvidence(message.getPromptEvidence(), mGateways);
                    }
                }
                case USAGE_REPORT -> onUsageReport(link, message.getUsageReport());
                case CONTROL_MEMBERS -> onMembers(message.getControlMembers());
                default -> mDispatcher.onMessage(link, message);
            }
        }

        /** Messages of consensus change state that must be the same on all members. */
        @Override
        public boolean isContained(Envelope message) {
            return switch (message.getPayloadCase()) {
                case DIRECTORY_UPDATE,
                        DIRECTORY_ACK,
                        GATEWAY_LOAD,
                        PROMPT_EVIDENCE,
                        USAGE_REPORT,
                        CONTROL_MEMBERS,
                        REVISION_REPORT,
                        SUBSCRIBE,
                        VERSION_EVIDENCE ->
                        true;
                default -> false;
            };
        }

        private void onUsageReport(Link link, UsageReport report) {
            if (isGateway(link)) {
                mUsage.ifPresent(u -> u.onReport(link.peer(), report));
                mScaling.ifPresent(s -> s.onReport(link.peer(), report));
            }
            link.send(
                    Envelope.newBuilder()
                            .setUsageReportAck(
                                    UsageReportAck.newBuilder()
                                            .setSequence(report.getSequence())
                                            .setWallMillis(mLoop.nowMillis()))
                            .build());
        }

        private void onMembers(ControlMembers members) {
            // This is how a process whose seeds are out of date discovers the members of the group.
            List<VmId> discovered = new ArrayList<>();
            members.getVmIdsList().forEach(id -> VmId.parse(id).ifPresent(discovered::add));
            mDiscovered = discovered;
            updateMembers();
        }
    }

    private static boolean isGateway(Link link) {
        return link.peer().getRole().equals("gateway");
    }
}
