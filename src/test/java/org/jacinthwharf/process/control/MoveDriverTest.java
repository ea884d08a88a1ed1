package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.MoveStep;
import org.jacinthwharf.wire.generated.VersionEvidence;
import org.junit.jupiter.api.Test;

/** Guards against steps that rest on what a member learnt in an earlier leadership. */
final class MoveDriverTest implements MovePlanner {
    private final ControlStateMachine mState = new ControlStateMachine(new InMemoryClaims());
    private final SingleMemberLog mLog = new SingleMemberLog(mState);
    private final MoveDriver mDriver = new MoveDriver(this, mState, mLog, new ManualLoop());
    private final List<String> mCalls = new ArrayList<>();

    @Test
    void plannerHearsOfEachLeadershipBeforeItsFirstTick() {
        mDriver.tick();
        mDriver.tick();
        mLog.mLeads = false;
        mDriver.tick();
        mLog.mLeads = true;
        mLog.mTerm = 5;
        mDriver.tick();
        assertThat(mCalls).containsExactly("leading", "tick", "tick", "leading", "tick").inOrder();
    }

    @Override
    public void onLeading() {
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
