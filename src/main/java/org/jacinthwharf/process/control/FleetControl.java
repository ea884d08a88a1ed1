package org.jacinthwharf.process.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.consensus.ProposeOutcome;
import org.jacinthwharf.process.consensus.RaftStatus;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.MovePhase;
import org.jacinthwharf.wire.generated.VersionMove;

/**
 * Operations of a control member, for use by HTTP or other APIs.
 *
 * <p>Used on the event loop only; futures complete on it.
 */
public final class FleetControl {
    private final ControlStateMachine mState;
    private final ReplicatedLog mLog;
    private final DirectoryService mDirectory;
    private final EventLoop mLoop;

    FleetControl(
            ControlStateMachine state,
            ReplicatedLog log,
            DirectoryService directory,
            EventLoop loop) {
        mState = state;
        mLog = log;
        mDirectory = directory;
        mLoop = loop;
    }

    /** Returns the service that backend servers announce themselves to. */
    public DirectoryService directory() {
        return mDirectory;
    }

    /** Proposes a change; sets the time of the command to the current time. */
    public CompletableFuture<ProposeOutcome> propose(Command command) {
        return mLog.propose(
                command.toBuilder().setNowMillis(mLoop.nowMillis()).build().toByteString());
    }

    /**
     * Proposes a version move. A move to the version that all servers of the service run already is
     * done when it begins: there is nothing to compare it with, and nothing else to serve with.
     */
    public CompletableFuture<ProposeOutcome> startMove(String commandId, VersionMove move) {
        VersionMove.Builder proposed = move.toBuilder();
        if (mDirectory.runsOnly(move.getModel(), move.getToVersion())) {
            proposed.setPhase(MovePhase.DONE);
        }
        return propose(Command.newBuilder().setCommandId(commandId).setStartMove(proposed).build());
    }

    /**
     * Reads the configuration linearizably, by confirming leadership first.
     *
     * @return the configuration, or empty if this member is not the leader
     */
    public CompletableFuture<Optional<Configuration>> readConfiguration() {
        return mLog.confirmLeadership()
                .thenApply(
                        isLeader ->
                                isLeader ? Optional.of(mState.configuration()) : Optional.empty());
    }

    /** Returns the configuration that this member has applied, which may be out of date. */
    public Configuration appliedConfiguration() {
        return mState.configuration();
    }

    /** Returns the VM of the leader, if the leader is known and is another member. */
    public Optional<VmId> remoteLeader() {
        RaftStatus status = mLog.status();
        return status.role() == RaftStatus.Role.LEADER ? Optional.empty() : status.leader();
    }

    /** Returns the wall-clock time in milliseconds since the epoch. */
    public long nowMillis() {
        return mLoop.nowMillis();
    }
}
