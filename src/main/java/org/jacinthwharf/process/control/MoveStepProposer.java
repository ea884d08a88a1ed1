package org.jacinthwharf.process.control;

import com.google.common.flogger.FluentLogger;
import java.util.function.BiPredicate;
import org.jacinthwharf.id.LogText;
import org.jacinthwharf.process.consensus.RaftStatus;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.MoveStep;
import org.jacinthwharf.wire.generated.RejectedVersion;

/**
 * Proposes the steps of version moves while this member is the leader, and forgets rejected
 * versions whose servers are gone.
 *
 * <p>Used on the event loop only. Invariant: the planner is notified of each new leadership before
 * its first tick in that term. Comparing terms suffices, since a member that lost leadership cannot
 * regain it in the same term.
 */
final class MoveStepProposer {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final MovePlanner mPlanner;
    private final ControlStateMachine mState;
    private final ReplicatedLog mLog;
    private final EventLoop mLoop;
    private final BiPredicate<String, String> mIsRunning;
    private RejectedVersionExpiry mExpiry;
    private long mNotifiedTerm = -1;

    /**
     * Creates a proposer that has proposed nothing.
     *
     * @param isRunning whether any server of a service is known to run a version
     */
    MoveStepProposer(
            MovePlanner planner,
            ControlStateMachine state,
            ReplicatedLog log,
            EventLoop loop,
            BiPredicate<String, String> isRunning) {
        mPlanner = planner;
        mState = state;
        mLog = log;
        mLoop = loop;
        mIsRunning = isRunning;
        mExpiry = new RejectedVersionExpiry(isRunning);
    }

    void tick() {
        RaftStatus status = mLog.status();
        if (status.role() != RaftStatus.Role.LEADER) {
            return;
        }
        if (status.term() != mNotifiedTerm) {
            mNotifiedTerm = status.term();
            mPlanner.onLeadershipAcquired();
            mExpiry = new RejectedVersionExpiry(mIsRunning);
        }
        long now = mLoop.nowMillis();
        for (MoveStep step : mPlanner.tick(mState.configuration(), now)) {
            LOGGER.atInfo().log(
                    "event=move_step model=%s move=%s phase=%s share=%d reason='%s'",
                    step.getModel(),
                    step.getMoveId(),
                    step.getPhase(),
                    step.getShareBasisPoints(),
                    step.getReason());
            Command command = Command.newBuilder().setNowMillis(now).setMoveStep(step).build();
            mLog.propose(command.toByteString());
        }
        for (RejectedVersion v : mExpiry.expired(mState.configuration(), mLoop.nowNanos())) {
            LOGGER.atInfo().log(
                    "event=rejected_version_forgotten model=%s version=%s",
                    v.getModel(), LogText.of(v.getVersion()));
            Command command = Command.newBuilder().setNowMillis(now).setForgetVersion(v).build();
            mLog.propose(command.toByteString());
        }
    }
}
