package org.jacinthwharf.version;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.LocalStop;
import org.jacinthwharf.wire.generated.Model;

/**
 * Lets a router stop sending to a new version on its own evidence, also without a control leader.
 *
 * <p>Invariant: a stop lasts until the move ends; it only lowers the share. Not thread-safe.
 */
public final class LocalVerdict {
    private final EvidenceAggregator mAggregator;
    private final double mFalseAlarmRate;
    private final Map<String, MoveVerdict> mVerdicts = new HashMap<>();
    private final Map<String, LocalStop> mStops = new HashMap<>();

    /**
     * Creates a verdict over the router's own evidence.
     *
     * @param ownAggregator receives the router's own reports only
     * @param routers routers of the fleet; they share the false alarm rate of a move, since any of
     *     them can end it
     */
    public LocalVerdict(EvidenceAggregator ownAggregator, int routers) {
        checkArgument(routers > 0, "routers not positive: %s", routers);
        mAggregator = ownAggregator;
        mFalseAlarmRate = MoveSupervisor.FALSE_ALARM_RATE / routers;
    }

    /** Judges all moves; returns the stops to report, which repeats them until the moves end. */
    public ImmutableList<LocalStop> onTick(Configuration configuration, long nowNanos) {
        Set<String> active = new HashSet<>();
        for (Model model : configuration.getModelsList()) {
            String id = model.getMove().getId();
            if (!MoveSupervisor.isActive(model)) {
                continue;
            }
            active.add(id);
            if (!mStops.containsKey(id)) {
                mVerdicts
                        .computeIfAbsent(
                                id,
                                ignored ->
                                        new MoveVerdict(
                                                model.getId(),
                                                model.getMove(),
                                                mFalseAlarmRate,
                                                mAggregator,
                                                nowNanos))
                        .judge(mAggregator, nowNanos)
                        .ifPresent(reason -> mStops.put(id, stop(model, reason)));
            }
        }
        mVerdicts.keySet().retainAll(active);
        mStops.keySet().retainAll(active);
        return ImmutableList.copyOf(mStops.values());
    }

    /** Returns whether this router sends nothing to the new version of the move. */
    public boolean isStopped(String moveId) {
        return mStops.containsKey(moveId);
    }

    private static LocalStop stop(Model model, String reason) {
        return LocalStop.newBuilder()
                .setModel(model.getId())
                .setMoveId(model.getMove().getId())
                .setReason(reason)
                .build();
    }
}
