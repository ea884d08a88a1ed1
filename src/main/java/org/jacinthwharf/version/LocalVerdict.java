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
 * Stops a router from sending to a bad new version by its own evidence, even without a leader.
 *
 * <p>Invariant: a stop lasts until the move ends and can only reduce the new version's traffic. Not
 * thread-safe.
 */
public final class LocalVerdict {
    private final EvidenceAggregator mAggregator;
    private final double mFalsePositiveRate;
    private final Map<String, MoveVerdict> mVerdicts = new HashMap<>();
    private final Map<String, LocalStop> mStops = new HashMap<>();

    /**
     * Creates a verdict based on the router's own evidence.
     *
     * @param ownAggregator aggregates only the router's own reports
     * @param routers number of routers in the fleet; the false positive rate of a move is divided
     *     among them, since any of them can end it
     */
    public LocalVerdict(EvidenceAggregator ownAggregator, int routers) {
        checkArgument(routers > 0, "routers not positive: %s", routers);
        mAggregator = ownAggregator;
        mFalsePositiveRate = MoveSupervisor.FALSE_POSITIVE_RATE / routers;
    }

    /** Evaluates all moves; returns the stops to report until their moves end. */
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
                                                mFalsePositiveRate,
                                                mAggregator,
                                                nowNanos))
                        .evaluate(mAggregator, nowNanos)
                        .ifPresent(reason -> mStops.put(id, stop(model, reason)));
            }
        }
        mVerdicts.keySet().retainAll(active);
        mStops.keySet().retainAll(active);
        return ImmutableList.copyOf(mStops.values());
    }

    /** Returns whether this router has stopped sending to the new version of the move. */
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
