package org.jacinthwharf.process.control;

import java.util.List;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.MoveStep;
import org.jacinthwharf.wire.generated.VersionEvidence;

/**
 * Decides the next steps of version moves from the evidence that routers send.
 *
 * <p>Called on the event loop only. {@link #tick} is called on the leader only; evidence is
 * received by every member; a new leader evaluates only what it receives after {@link
 * #onLeadershipAcquired}.
 */
public interface MovePlanner {
    /** Called when this member became leader; discards all evidence received before. */
    void onLeadershipAcquired();

    /** Records the counts of one router incarnation. */
    void onEvidence(VersionEvidence evidence, long nowNanos);

    /** Returns the steps to commit now, at most one per move. */
    List<MoveStep> tick(Configuration configuration, long nowMillis);

    /** Returns a planner that takes no step. */
    static MovePlanner noOp() {
        return new MovePlanner() {
            @Override
            public void onLeadershipAcquired() {}

            @Override
            public void onEvidence(VersionEvidence evidence, long nowNanos) {}

            @Override
            public List<MoveStep> tick(Configuration configuration, long nowMillis) {
                return List.of();
            }
        };
    }
}
