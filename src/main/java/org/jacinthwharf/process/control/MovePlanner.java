package org.jacinthwharf.process.control;

import java.util.List;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.MoveStep;
import org.jacinthwharf.wire.generated.VersionEvidence;

/**
 * Decides the next steps of version moves from the evidence of routers.
 *
 * <p>Called on the event loop only. {@link #tick} is called on the leader only; evidence arrives at
 * every member; a new leader judges by what arrives after {@link #onLeading}.
 */
public interface MovePlanner {
    /** Starts a leadership of this member: nothing of an earlier one may be used. */
    void onLeading();

    /** Takes the counts of one router incarnation. */
    void onEvidence(VersionEvidence evidence, long nowNanos);

    /** Returns the steps to commit now, at most one per move. */
    List<MoveStep> tick(Configuration configuration, long nowMillis);

    /** Returns a planner that takes no step. */
    static MovePlanner idle() {
        return new MovePlanner() {
            @Override
            public void onLeading() {}

            @Override
            public void onEvidence(VersionEvidence evidence, long nowNanos) {}

            @Override
            public List<MoveStep> tick(Configuration configuration, long nowMillis) {
                return List.of();
            }
        };
    }
}
