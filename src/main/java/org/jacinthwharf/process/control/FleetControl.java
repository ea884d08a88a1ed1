package org.jacinthwharf.process.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.consensus.LogStatus;
import org.jacinthwharf.process.consensus.ProposeOutcome;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.Configuration;

/**
 * What an operators' interface can do with a control member, whatever words it uses.
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

    /** Returns the backend servers that announce themselves here. */
    public DirectoryService directory() {
        return mDirectory;
    }

    /** Proposes a change; the time of the command is set here. */
    public CompletableFuture<ProposeOutcome> propose(Command command) {
        return mLog.propose(
                command.toBuilder().setNowMillis(mLoop.nowMillis()).build().toByteString());
    }

    /**
     * Reads the configuration if this member can be sure that it is the newest.
     *
     * @return the configuration, or empty if this member does not lead
     */
    public CompletableFuture<Optional<Configuration>> read() {
        return mLog.confirmLeadership()
                .thenApply(leads -> leads ? Optional.of(mState.configuration()) : Optional.empty());
    }

    /** Returns the configuration that this member has applied, which may be out of date. */
    public Configuration applied() {
        return mState.configuration();
    }

    /** Returns the VM of the leader, if it is known and is another one. */
    public Optional<VmId> otherLeader() {
        LogStatus status = mLog.status();
        return status.role() == LogStatus.Role.LEADER ? Optional.empty() : status.leader();
    }

    /** Returns the wall-clock time in milliseconds since the epoch. */
    public long nowMillis() {
        return mLoop.nowMillis();
    }
}
