package org.jacinthwharf.version;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.wire.generated.MovePhase;
import org.jacinthwharf.wire.generated.VersionMove;

/**
 * Divides the requests of one model at one router between the two versions of a move.
 *
 * <p>Invariant: during the canary at most 5% of the requests of each route go to the new version,
 * or, at low rates, one request at a time. Otherwise the choice depends only on the request id, the
 * move and its share. Not thread-safe.
 */
public final class VersionSplit {
    /** Stands for all versions that ran before the first move of a service. */
    public static final String VERSION_BEFORE_MOVES = "initial";

    /** Below this number in the last minute, 5% are too few to judge a version by. */
    public static final long LOW_REQUESTS_PER_MINUTE = 400;

    private static final int WHOLE = 10_000;
    private static final int CANARY_PARTS = 20;

    private static final class RouteCount {
        long mRequests;
        long mNew;
    }

    /**
     * What the router knows about a route when it chooses.
     *
     * @param stopped whether this router stopped the new version on its own evidence
     * @param requestsLastMinute requests of the route at this router, all versions
     * @param runningAtNew requests of this router that run at the new version, all routes
     * @param hasLowRateTurn whether this is the one router of the fleet that sends the canary's
     *     single requests
     */
    public record RouteState(
            boolean stopped, long requestsLastMinute, long runningAtNew, boolean hasLowRateTurn) {}

    private final Map<String, RouteCount> mRoutes = new HashMap<>();
    private String mMoveId = "";

    /** Returns the version that serves a request; to be called once per request. */
    public String choose(RequestId request, String route, VersionMove move, RouteState state) {
        if (!move.getId().equals(mMoveId)) {
            mMoveId = move.getId();
            mRoutes.clear();
        }
        return switch (move.getPhase()) {
            case DONE -> move.getToVersion();
            case CANARY, RAMP, WATCH ->
                    takesNew(request, route, move, state)
                            ? move.getToVersion()
                            : move.getFromVersion();
            default -> move.getFromVersion();
        };
    }

    private boolean takesNew(RequestId request, String route, VersionMove move, RouteState state) {
        if (state.stopped() || move.getShareBasisPoints() == 0) {
            return false;
        }
        boolean byShare = hash(request, move) < move.getShareBasisPoints();
        if (move.getPhase() != MovePhase.CANARY) {
            return byShare;
        }
        RouteCount count = mRoutes.computeIfAbsent(route, ignored -> new RouteCount());
        count.mRequests++;
        boolean taken =
                state.requestsLastMinute() < LOW_REQUESTS_PER_MINUTE
                        ? state.hasLowRateTurn() && state.runningAtNew() == 0
                        : byShare && (count.mNew + 1) * CANARY_PARTS <= count.mRequests;
        if (taken) {
            count.mNew++;
        }
        return taken;
    }

    private static int hash(RequestId request, VersionMove move) {
        long hash =
                Hashing.sipHash24()
                        .hashString(request.value() + "|" + move.getId(), StandardCharsets.UTF_8)
                        .asLong();
        return (int) Long.remainderUnsigned(hash, WHOLE);
    }
}
