package org.jacinthwharf.process.assembly;

import com.google.common.collect.ImmutableSortedSet;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.consensus.LeaveOutcome;
import org.jacinthwharf.process.consensus.RaftNode;
import org.jacinthwharf.process.consensus.RaftSettings;
import org.jacinthwharf.process.consensus.RaftStorage;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.consensus.StateMachine;
import org.jacinthwharf.process.consensus.StorageOpenResult;
import org.jacinthwharf.process.control.ControlProcess;
import org.jacinthwharf.process.control.LogFactory;
import org.jacinthwharf.process.control.MemberLinks;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.settings.ControlSettings;
import org.jacinthwharf.process.settings.NodeSettings;
import org.jacinthwharf.wire.generated.Envelope;

/** Creates the components of a control process. Stateless and thread-safe. */
public final class ControlAssembly {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration OPEN_RETRY_INTERVAL = Duration.ofMillis(500);

    private ControlAssembly() {}

    /**
     * Returns the components for a member that is configured with all members of its group.
     *
     * @param storage the opened data folder
     * @param mayFound whether this member may bootstrap the control group if no configured member
     *     has data yet
     */
    public static ControlProcess.Components components(
            ControlSettings settings, RaftStorage storage, boolean mayFound, EventLoop loop) {
        return new ControlProcess.Components(
                (machine, eventLoop, members) ->
                        open(
                                new RaftSettings(
                                        VmId.of(settings.vmId()),
                                        configuredMembers(settings),
                                        mayFound),
                                storage,
                                machine,
                                eventLoop,
                                members),
                new ReplicatedClaims(),
                new SupervisedMovePlanner(loop),
                new DomainWitness());
    }

    /** Returns the components for a member that discovers its group through seeds. */
    public static ControlProcess.Components components(
            NodeSettings settings, RaftStorage storage, EventLoop loop) {
        RaftSettings raft =
                new RaftSettings(
                        settings.self(),
                        ImmutableSortedSet.copyOf(settings.seedVms()),
                        settings.mayFound());
        return new ControlProcess.Components(
                (machine, eventLoop, members) -> open(raft, storage, machine, eventLoop, members),
                new ReplicatedClaims(),
                new SupervisedMovePlanner(loop),
                new DomainWitness());
    }

    /**
     * Opens the data folder of a member that discovers its group through seeds. While the file
     * system reports errors, for example since the disk is full, it waits and tries again.
     */
    public static StorageOpenResult openStorage(NodeSettings settings) throws InterruptedException {
        boolean logged = false;
        while (true) {
            StorageOpenResult result =
                    RaftStorage.open(
                            Path.of(settings.dataFolder()),
                            settings.self(),
                            () -> UUID.randomUUID().toString());
            if (!(result instanceof StorageOpenResult.Refused r)
                    || r.reason() != StorageOpenResult.Reason.IO_ERROR) {
                return result;
            }
            if (!logged) {
                LOGGER.atSevere().log(
                        "event=data_folder_unavailable folder=%s detail='%s'",
                        settings.dataFolder(), r.detail());
                logged = true;
            }
            Thread.sleep(OPEN_RETRY_INTERVAL.toMillis());
        }
    }

    /** Opens the data folder of a member that is configured with all members of its group. */
    public static StorageOpenResult openStorage(ControlSettings settings) {
        return RaftStorage.open(
                Path.of(settings.dataFolder()),
                VmId.of(settings.vmId()),
                () -> UUID.randomUUID().toString());
    }

    private static ImmutableSortedSet<VmId> configuredMembers(ControlSettings settings) {
        return settings.controlMembers().stream()
                .map(m -> VmId.of(m.vmId()))
                .collect(ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
    }

    private static LogFactory.OpenLog open(
            RaftSettings settings,
            RaftStorage storage,
            StateMachine machine,
            EventLoop loop,
            MemberLinks members) {
        ExecutorService storageExecutor =
                Executors.newSingleThreadExecutor(
                        task -> {
                            Thread t = new Thread(task, "storage");
                            t.setDaemon(true);
                            return t;
                        });
        RaftNode node =
                new RaftNode(
                        settings,
                        storage,
                        machine,
                        loop,
                        storageExecutor,
                        members::send,
                        new SplittableRandom(System.nanoTime()));
        node.start();
        return new OpenRaftLog(node, storage, storageExecutor);
    }

    /** The log of a member, backed by Raft. Used on the event loop only. */
    private record OpenRaftLog(RaftNode node, RaftStorage storage, ExecutorService storageExecutor)
            implements LogFactory.OpenLog {
        @Override
        public ReplicatedLog log() {
            return node;
        }

        @Override
        public void onMessage(Link from, Envelope message) {
            node.receive(message);
        }

        @Override
        public void onRefused(VmId vm) {
            node.onRefused(vm);
        }

        @Override
        public CompletableFuture<LeaveOutcome> leave(Duration limit) {
            return node.leave(limit);
        }

        @Override
        public void close() {
            node.stop();
            // Closed after the writes that are already queued.
            storageExecutor.execute(this::closeStorage);
            storageExecutor.shutdown();
        }

        private void closeStorage() {
            try {
                storage.close();
            } catch (IOException e) {
                LOGGER.atWarning().withCause(e).log("event=storage_close_failed");
            }
        }
    }
}
