package org.jacinthwharf.process.control;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
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
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.loop.NettyEventLoop;
import org.jacinthwharf.process.membership.DirectoryMessages;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.metrics.MetricsText;
import org.jacinthwharf.process.settings.NodeSettings;
import org.jacinthwharf.wire.generated.ControlMembers;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.Hello;

/**
 * A control process that finds its group through seeds and serves gateways.
 *
 * <p>{@link #start} and {@link #stop} are called once each, from a thread other than the event
 * loop. Invariant: all decisions are made on the event loop, which also carries all connections.
 */
public final class SeededControlProcess {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration MEMBERS_INTERVAL = Duration.ofMillis(500);

    private final NodeSettings mSettings;
    private final NettyEventLoop mLoop;
    private final Links mLinks;
    private final LogFactory.OpenLog mOpenLog;
    private final ReplicatedLog mLog;
    private final ConfigurationPublisher mPublisher;
    private final MoveDriver mMoves;
    private final ClaimRelay mClaims;
    private final ControlMessages mMessages;
    private final DirectoryService mDirectory;
    private final LoadRelay mLoad;
    private final MemberContacts mContacts;
    private final HttpEndpoint mHttp;
    private final HttpEndpoint mMetricsEndpoint;
    private final Set<Link> mGateways = new HashSet<>();
    private final Set<Link> mAll = new HashSet<>();
    private List<VmId> mSeeds;
    private List<VmId> mFound = List.of();
    private ControlMembers mMembers = ControlMembers.getDefaultInstance();

    /**
     * Creates a process that is not started; called on the event loop.
     *
     * @param components consensus, claims, moves and the witness
     * @param operators makes the operators' interface of the process
     */
    public SeededControlProcess(
            NodeSettings settings,
            NettyEventLoop loop,
            FleetMetrics metrics,
            ControlProcess.Components components,
            Function<FleetControl, Function<HttpCall, CompletableFuture<HttpAnswer>>> operators) {
        mSettings = settings;
        mLoop = loop;
        mSeeds = settings.seedVms();
        mLinks = new Links(hello(settings, loop.nowMillis()), loop, metrics, loop.group());
        ControlStateMachine state = new ControlStateMachine(components.claims());
        MemberLinks members = new MemberLinks();
        mOpenLog = components.logFactory().open(state, loop, members);
        mLog = mOpenLog.log();
        mPublisher = new ConfigurationPublisher(state, mLog, loop);
        state.setListener(mPublisher);
        mMoves = new MoveDriver(components.planner(), state, mLog, loop);
        mClaims = new ClaimRelay(mLog, loop, members::find);
        mMessages =
                new ControlMessages(
                        loop,
                        metrics,
                        members,
                        mOpenLog,
                        mPublisher,
                        mClaims,
                        components.planner(),
                        components.witness());
        mDirectory = new DirectoryService(loop);
        mLoad = new LoadRelay(loop);
        mContacts = new MemberContacts(settings, mLinks, new Traffic());
        mHttp =
                new HttpEndpoint(
                        loop.group(),
                        operators.apply(new FleetControl(state, mLog, mDirectory, loop)));
        mMetricsEndpoint =
                new HttpEndpoint(
                        loop.group(),
                        call -> CompletableFuture.completedFuture(MetricsText.answer(metrics)));
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
     * Opens all ports.
     *
     * @throws IOException if a port cannot be bound
     */
    public void start() throws IOException {
        try {
            mLinks.accept(mSettings.peer().toSocketAddress(), new Traffic()).join();
        } catch (CompletionException e) {
            throw new IOException("cannot listen on " + mSettings.peer(), e.getCause());
        }
        mLoop.execute(this::updateMembers);
        mLoop.scheduleRepeatedly(MEMBERS_INTERVAL, this::updateMembers);
        mLoop.scheduleRepeatedly(ConfigurationPublisher.INTERVAL, this::tick);
        mLoop.execute(mDirectory::start);
        if (mSettings.listen().http().isPresent()) {
            mHttp.listen(mSettings.listen().http().get().toSocketAddress());
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
        mMoves.tick();
    }

    private void updateMembers() {
        Set<VmId> wanted = new HashSet<>(mSeeds);
        wanted.addAll(mFound);
        ControlMembers.Builder list = ControlMembers.newBuilder();
        mLog.status()
                .members()
                .forEach(
                        m -> {
                            wanted.add(VmId.of(m.getVmId()));
                            list.addVmIds(m.getVmId());
                        });
        mContacts.want(wanted);
        ControlMembers members = list.build();
        if (!members.equals(mMembers)) {
            mMembers = members;
            mAll.forEach(this::sendMembers);
        }
    }

    private void sendMembers(Link link) {
        if (mMembers.getVmIdsCount() > 0) {
            link.send(Envelope.newBuilder().setControlMembers(mMembers).build());
        }
    }

    /** Replaces the seeds by those of new settings. */
    public void onSettings(NodeSettings settings) {
        LOGGER.atInfo().log("event=settings_reloaded seeds=%s", settings.seeds());
        mLoop.execute(() -> mSeeds = settings.seedVms());
    }

    /** Stops the process; the event loop stays open and belongs to the caller. */
    public void stop() {
        mHttp.close();
        mLinks.close();
        CompletableFuture.runAsync(mOpenLog::close, mLoop).join();
        LOGGER.atInfo().log("event=control_member_stopped vm=%s", mSettings.vmId());
    }

    /** Sorts the messages of gateways from those of members. */
    private final class Traffic implements LinkListener {
        @Override
        public void onUp(Link link) {
            mAll.add(link);
            sendMembers(link);
            mDirectory.onUp(link);
            if (isGateway(link)) {
                mGateways.add(link);
                mLoad.onUp(link);
            }
            mMessages.onUp(link);
        }

        @Override
        public void onDown(Link link) {
            mAll.remove(link);
            mGateways.remove(link);
            mDirectory.onDown(link);
            mLoad.onDown(link);
            mMessages.onDown(link);
        }

        @Override
        public void onMessage(Link link, Envelope message) {
            switch (message.getPayloadCase()) {
                case DIRECTORY_UPDATE -> {
                    mDirectory.onMemberUpdate(link, message.getDirectoryUpdate(), mGateways);
                    link.send(DirectoryMessages.ack(message.getDirectoryUpdate().getNumber()));
                }
                case DIRECTORY_ACK -> mDirectory.onAck(link, message.getDirectoryAck().getNumber());
                case GATEWAY_LOAD -> mLoad.onLoad(link, message.getGatewayLoad());
                case CONTROL_MEMBERS -> onMembers(message.getControlMembers());
                default -> mMessages.onMessage(link, message);
            }
        }

        private void onMembers(ControlMembers members) {
            // A process that only knows old seeds finds the group's members in this way.
            List<VmId> found = new ArrayList<>();
            members.getVmIdsList().forEach(id -> VmId.parse(id).ifPresent(found::add));
            mFound = found;
            updateMembers();
        }
    }

    private static boolean isGateway(Link link) {
        return link.peer().getRole().equals("gateway");
    }
}
