package org.jacinthwharf.process.assembly;

import java.util.List;
import org.jacinthwharf.process.control.MovePlanner;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.version.EvidenceAggregator;
import org.jacinthwharf.version.MoveSupervisor;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.MoveStep;
import org.jacinthwharf.wire.generated.VersionEvidence;

/**
 * Plans version moves with a {@link MoveSupervisor}.
 *
 * <p>Used on the event loop only. Invariant: steps are based only on evidence received since this
 * member last became leader.
 */
final class SupervisedMovePlanner implements MovePlanner {
    private final EventLoop mLoop;
    private EvidenceAggregator mAggregator;
    private MoveSupervisor mSupervisor;

    SupervisedMovePlanner(EventLoop loop) {
        mLoop = loop;
        onLeadershipAcquired();
    }

    @Override
    public void onLeadershipAcquired() {
        mAggregator = new EvidenceAggregator(mLoop.nowMillis());
        mSupervisor = new MoveSupervisor(mAggregator);
    }

    @Override
    public void onEvidence(VersionEvidence evidence, long nowNanos) {
        mAggregator.record(evidence, nowNanos);
    }

    @Override
    public List<MoveStep> tick(Configuration configuration, long nowMillis) {
        return mSupervisor.onTick(configuration, nowMillis, mLoop.nowNanos());
    }
}
