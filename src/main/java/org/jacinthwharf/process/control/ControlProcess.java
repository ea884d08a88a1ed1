package org.jacinthwharf.process.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.jacinthwharf.connection.Links;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.AdminServer;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.settings.ControlPeer;
import org.jacinthwharf.process.settings.ControlSettings;
import org.jacinthwharf.wire.generated.Hello;

/**
 * A control process: replicated state machine, links, operator interface and admin port.
 *
 * <p>{@link #start} and {@link #close} are called once each, from any thread but the event loop.
 * Invariant: all decisions are made on the event loop.
 */
public final class ControlProcess implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ControlSettings mSettings;
    private final VmId mSelf;
    private final EventLoop mLoop;
    private final Links mLinks;
    private final ControlStateMachine mState;
    private final FleetMetrics mMetrics;
    private final LogFactory.OpenLog mOpenLog;
    private final ConfigurationPublisher mPublisher;
    private final ClaimRelay mClaims;
    private final MoveStepProposer mStepProposer;
    private final ControlMessageDispatcher mDispatcher;
    private final OperatorServer mOperatorServer;
    private final AdminServer mAdminServer;
    private volatile boolean mReady;
    private volatile boolean mStopping;

    private ControlProcess(
            ControlSettings settings,
            OperatorToken token,
            EventLoop loop,
            FleetMetrics metrics,
            Components components) {
        mSettings = settings;
        mSelf = VmId.of(settings.vmId());
        mLoop = loop;
        mMetrics = metrics;
        mLinks = new Links(hello(settings, loop.nowMillis()), loop, metrics);
        mState = new ControlStateMachine(components.claims());
        MemberLinks members = new MemberLinks();
        mOpenLog = components.logFactory().open(mState, loop, members);
        ReplicatedLog log = mOpenLog.log();
        mPublisher = new ConfigurationPublisher(mState, log, loop);
        mState.setListener(mPublisher);
        mStepProposer =
                new MoveStepProposer(
                        components.planner(), mState, log, loop, (model, version) -> true);
        mClaims = new ClaimRelay(log, loop, members::find);
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
        OperatorApi api =
                new OperatorApi(
                        token, log, mState, this::status, this::httpOrigin, loop::nowMillis);
        mOperatorServer =
                new OperatorServer(
                        settings.listen().http().toSocketAddress(),
                        request ->
                                CompletableFuture.supplyAsync(() -> api.handle(request), loop)
                                        .thenCompose(response -> response));
        mAdminServer =
                new AdminServer(
                        settings.listen().admin().toSocketAddress(),
                        metrics,
                        () -> mReady && !mStopping,
                        () ->
                                CompletableFuture.supplyAsync(
                                        () -> status().toPrettyString() + "\n", loop));
    }

    /**
     * The components that other packages provide.
     *
     * <p>Immutable.
     *
     * @param logFactory opens the replicated log
     * @param claims claims of request keys; initially empty
     * @param planner decides the steps of version moves
     * @param witness votes on behalf of the control group in failure domains
     */
    public record Components(
            LogFactory logFactory, Claims claims, MovePlanner planner, LeaseWitness witness) {}

    /**
     * Starts a control process.
     *
     * @return the process, after its ports are bound
     * @throws IOException if the token file cannot be read or a port cannot be bound
     */
    public static ControlProcess start(
            ControlSettings settings, EventLoop loop, FleetMetrics metrics, Components components)
            throws IOException {
        OperatorToken token = OperatorToken.read(Path.of(settings.operatorTokenFile()));
        ControlProcess process =
                CompletableFuture.supplyAsync(
                                () ->
                                        new ControlProcess(
                                                settings, token, loop, metrics, components),
                                loop)
                        .join();
        try {
            process.listen();
        } catch (IOException e) {
            process.close();
            throw e;
        }
        LOGGER.atInfo().log("event=control_started vm=%s", settings.vmId());
        return process;
    }

    private void listen() throws IOException {
        try {
            mLinks.accept(mSettings.listen().peer().toSocketAddress(), mDispatcher).join();
        } catch (CompletionException e) {
            throw new IOException("cannot bind " + mSettings.listen().peer(), e.getCause());
        }
        for (ControlPeer p : mSettings.controlMembers()) {
            if (!p.vmId().equals(mSettings.vmId())) {
                mLinks.keepOpen(p.peer().toSocketAddress(), mDispatcher);
            }
        }
        mOperatorServer.start();
        mAdminServer.start();
        mLoop.scheduleRepeatedly(ConfigurationPublisher.PUSH_INTERVAL, this::tick);
    }

    private void tick() {
        mPublisher.tick();
        mClaims.tick();
        mReady = mPublisher.isConfirmed();
        mStepProposer.tick();
        mMetrics.setStorageFailing(mOpenLog.log().status().storageFailing());
    }

    private ObjectNode status() {
        return StatusReport.status(
                mState.configuration(),
                mPublisher.isConfirmed(),
                mSelf,
                mOpenLog.log().status(),
                mSettings.routers(),
                mPublisher.reportedRevisions());
    }

    private Optional<String> httpOrigin(VmId member) {
        return mSettings.controlMembers().stream()
                .filter(p -> p.vmId().equals(member.value()))
                .map(p -> "http://" + p.http())
                .findFirst();
    }

    private static Hello hello(ControlSettings settings, long nowMillis) {
        return Hello.newBuilder()
                .setVmId(settings.vmId())
                .setIncarnation(nowMillis)
                .setFailureDomain(settings.failureDomain())
                .setRole("control")
                .build();
    }

    /**
     * Stops the process: completes open requests of operators, then closes links and log.
     *
     * <p>The event loop stays open; the caller owns it and closes it next.
     */
    @Override
    public void close() {
        mStopping = true;
        mOperatorServer.close();
        mLinks.close();
        CompletableFuture.runAsync(mOpenLog::close, mLoop).join();
        mAdminServer.close();
        LOGGER.atInfo().log("event=control_stopped vm=%s", mSettings.vmId());
    }
}
