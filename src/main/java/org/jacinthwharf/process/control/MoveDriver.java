package org.jacinthwharf.process.control;

import com.google.common.flogger.FluentLogger;
import org.jacinthwharf.process.consensus.LogStatus;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.MoveStep;

/**
 * Proposes the steps of version moves while this member leads.
 *
 * <p>Used on the event loop only. Invariant: the planner hears of each new leadership before its
 * first tick in it; a member that lost the lead cannot lead again in the same term.
 */
final class MoveDriver {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final MovePlanner mPlanner;
    private final ControlStateMachine mState;
    private final ReplicatedLog mLog;
    private final EventLoop mLoop;
    private long mLeadingTerm = -1;

    MoveDriver(MovePlanner planner, ControlStateMachine state, ReplicatedLog log, EventLoop loop) {
        mPlanner = planner;
        mState = state;
        mLog = log;
        mLoop = loop;
    }

    void tick() {
        LogStatus status = mLog.status();
        if (status.role() != LogStatus.Role.LEADER) {
            return;
        }
        if (status.term() != mLeadingTerm) {
            mLeadingTerm = status.term();
            mPlanner.onLeading();
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
    }
}
