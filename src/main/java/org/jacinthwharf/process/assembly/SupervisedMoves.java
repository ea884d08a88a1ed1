package org.jacinthwharf.process.assembly;

import java.util.List;
import org.jacinthwharf.process.control.MovePlanner;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.version.EvidenceBook;
import org.jacinthwharf.version.MoveSupervisor;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.MoveStep;
import org.jacinthwharf.wire.generated.VersionEvidence;

/** Version moves as the control process sees them. Used on the event loop only. */
final class SupervisedMoves implements MovePlanner {
    private final EventLoop mLoop;
    private final EvidenceBook mBook;
    private final MoveSupervisor mSupervisor;

    SupervisedMoves(EventLoop loop) {
        mLoop = loop;
        mBook = new EvidenceBook(loop.nowMillis());
        mSupervisor = new MoveSupervisor(mBook);
    }

    @Override
    public void onEvidence(VersionEvidence evidence, long nowNanos) {
        mBook.record(evidence, nowNanos);
    }

    @Override
    public List<MoveStep> tick(Configuration configuration, long nowMillis) {
        return mSupervisor.onTick(configuration, nowMillis, mLoop.nowNanos());
    }
}
