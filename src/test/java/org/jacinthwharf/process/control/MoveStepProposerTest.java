package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.MoveStep;
import org.jacinthwharf.wire.generated.VersionEvidence;
import org.junit.jupiter.api.Test;

/** Guards against steps based on evidence that a member received in an earlier leadership. */
final class MoveStepProposerTest implements MovePlanner {
    private final ControlStateMachine mState = new ControlStateMachine(new InMemoryClaims());
    private final SingleMemberLog mLog = new SingleMemberLog(mState);
    private final MoveStepProposer mProposer =
            new MoveStepProposer(
                    this, mState, mLog, new ManualEventLoop(), (model, version) -> true);
    private final List<String> mCalls = new ArrayList<>();

    @Test
    void plannerIsNotifiedOfEachLeadershipBeforeItsFirstTick() {
        mProposer.tick();
        mProposer.tick();
        mLog.mIsLeader = false;
        mProposer.tick();
        mLog.mIsLeader = true;
        mLog.mTerm = 5;
        mProposer.tick();
        assertThat(mCalls).containsExactly("leading", "tick", "tick", "leading", "tick").inOrder();
    }

    @Override
    public void onLeadershipAcquired() {
        mCalls.add("leading");
    }

    @Override
    public void onEvidence(VersionEvidence evidence, long nowNanos) {}

    @Override
    public List<MoveStep> tick(Configuration configuration, long nowMillis) {
        mCalls.add("tick");
        return List.of();
    }
}
