package org.jacinthwharf.version;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.wire.generated.MovePhase;
import org.jacinthwharf.wire.generated.VersionMove;

/**
 * Splits the requests of one model at one router between the two versions of a move.
 *
 * <p>Invariant: during the canary at most 5% of the requests of each route go to the new version,
 * or, at low rates, one request at a time. Otherwise the choice depends only on the request id, the
 * move and its share. Not thread-safe.
 */
public final class VersionSplit {
    /** Placeholder for all versions that ran before the first move of a service. */
    public static final String VERSION_BEFORE_MOVES = "initial";

    /** With fewer requests in the last minute, 5% are too few to evaluate a version. */
    public static final long LOW_RATE_REQUESTS_PER_MINUTE = 400;

    private static final int TOTAL_BASIS_POINTS = 10_000;
    private static final int CANARY_DIVISOR = 20;

    private static final class CanaryCount {
        long mRequests;
        long mNewVersion;
    }

    /**
     * Local state of a route on which the choice depends.
     *
     * @param stopped whether this router stopped the new version by its own evidence
     * @param requestsLastMinute requests of the route at this router, for all versions
     * @param runningAtNewVersion running requests of this router at the new version, on all routes
     * @param isLowRateSender whether this is the one router of the fleet that sends the single
     *     canary requests of a route with a low rate
     */
    public record RouteState(
            boolean stopped,
            long requestsLastMinute,
            long runningAtNewVersion,
            boolean isLowRateSender) {}

    private final Map<String, CanaryCount> mRoutes = new HashMap<>();
    private String mMoveId = "";

    /** Returns the version that serves a request; called once per request. */
    public String choose(RequestId request, String route, VersionMove move, RouteState state) {
        if (!move.getId().equals(mMoveId)) {
            mMoveId = move.getId();
            mRoutes.clear();
        }
        return switch (move.getPhase()) {
            case DONE -> move.getToVersion();
            case CANARY, RAMP, WATCH ->
                    usesNewVersion(request, route, move, state)
                            ? move.getToVersion()
                            : move.getFromVersion();
            default -> move.getFromVersion();
        };
    }

    private boolean usesNewVersion(
            RequestId request, String route, VersionMove move, RouteState state) {
        if (state.stopped() || move.getShareBasisPoints() == 0) {
            return false;
        }
        boolean isWithinShare = hash(request, move) < move.getShareBasisPoints();
        if (move.getPhase() != MovePhase.CANARY) {
            return isWithinShare;
        }
        CanaryCount count = mRoutes.computeIfAbsent(route, ignored -> new CanaryCount());
        count.mRequests++;
        boolean isNew =
                state.requestsLastMinute() < LOW_RATE_REQUESTS_PER_MINUTE
                        ? state.isLowRateSender() && state.runningAtNewVersion() == 0
                        : isWithinShare
                                && (count.mNewVersion + 1) * CANARY_DIVISOR <= count.mRequests;
        if (isNew) {
            count.mNewVersion++;
        }
        return isNew;
    }

    private static int hash(RequestId request, VersionMove move) {
        long hash =
                Hashing.sipHash24()
                        .hashString(request.value() + "|" + move.getId(), StandardCharsets.UTF_8)
                        .asLong();
        return (int) Long.remainderUnsigned(hash, TOTAL_BASIS_POINTS);
    }
}
