package org.jacinthwharf.process.gateway;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.jacinthwharf.id.ModelId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.id.VersionId;
import org.jacinthwharf.process.moves.EvidenceSink.AttemptResult;
import org.jacinthwharf.process.moves.VersionDriver;
import org.jacinthwharf.request.dispatch.BackendServer;
import org.jacinthwharf.request.dispatch.DispatchRequest;
import org.jacinthwharf.request.dispatch.VersionGate;
import org.jacinthwharf.version.VersionSplit;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.MovePhase;

/**
 * Selects servers of the version that the version move of a service assigns to a request, and
 * records the results of each version.
 *
 * <p>Used on the event loop only. Invariant: a version that was rolled back receives no requests,
 * and its results are no baseline, until it is ordered again; the target of an active move receives
 * only the requests that the move assigns to it.
 */
final class VersionSelector implements VersionGate {
    private final Function<String, Optional<Model>> mModels;

    /** Results of versions that are compared with none. */
    private static final String OTHER_VERSION = "other";

    /** Larger than the number of requests that wait at the same time. */
    private static final int MAX_CHOSEN_VERSIONS = 4_096;

    /**
     * One choice of a version.
     *
     * @param request hash of the request's id, which may be long; requests that share it share the
     *     choice
     */
    private record ChoiceKey(String move, MovePhase phase, long request) {}

    /** The servers of a version, for the requests that are placed in one run. */
    private record Selection(
            Model model, String chosen, List<BackendServer> from, List<BackendServer> allowed) {
        boolean isFor(Model m, String version, List<BackendServer> servers) {
            return servers == from && m == model && version.equals(chosen);
        }
    }

    private final VersionDriver mDriver;
    private Selection mLast = new Selection(Model.getDefaultInstance(), "", List.of(), List.of());
    private final Map<ChoiceKey, String> mChosenVersions =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<ChoiceKey, String> eldest) {
                    return size() > MAX_CHOSEN_VERSIONS;
                }
            };

    VersionSelector(Function<String, Optional<Model>> models, VersionDriver driver) {
        mModels = models;
        mDriver = driver;
    }

    @Override
    public List<BackendServer> allowed(
            DispatchRequest request, List<BackendServer> servers, boolean retry) {
        Optional<Model> model = mModels.apply(request.service());
        if (model.isEmpty()) {
            return servers;
        }
        Model m = model.get();
        String chosen =
                retry ? VersionDriver.chooseForRetry(m).version().value() : chooseOnce(m, request);
        if (!mLast.isFor(m, chosen, servers)) {
            mLast = new Selection(m, chosen, servers, select(m, chosen, servers));
        }
        return mLast.allowed();
    }

    private static List<BackendServer> select(Model m, String chosen, List<BackendServer> servers) {
        List<BackendServer> matching =
                servers.stream()
                        .filter(s -> evidenceVersion(m, s.version()).equals(chosen))
                        .toList();
        if (!matching.isEmpty()) {
            return matching;
        }
        // A replacement server may run a version that no move names.
        String target = m.getMove().getToVersion();
        boolean targetReserved = m.hasMove() && m.getMove().getPhase() != MovePhase.DONE;
        return servers.stream()
                .filter(s -> !(targetReserved && s.version().equals(target)))
                .filter(s -> !isRejected(m, s.version()))
                .toList();
    }

    /** Chooses once for each request, since the driver counts its choices. */
    private String chooseOnce(Model m, DispatchRequest request) {
        if (!m.hasMove()) {
            return m.getCurrentVersion();
        }
        long hash = Hashing.murmur3_128().hashString(request.id(), StandardCharsets.UTF_8).asLong();
        ChoiceKey key = new ChoiceKey(m.getMove().getId(), m.getMove().getPhase(), hash);
        return mChosenVersions.computeIfAbsent(
                key,
                k ->
                        mDriver.choose(m, RequestId.of(request.id()), request.route())
                                .version()
                                .value());
    }

    /** Returns the version that a server's results are recorded under. */
    private static String evidenceVersion(Model m, String version) {
        if (m.hasMove() && version.equals(m.getMove().getToVersion())) {
            return version;
        }
        if (isRejected(m, version)) {
            return OTHER_VERSION;
        }
        boolean known = !m.getCurrentVersion().equals(VersionSplit.VERSION_BEFORE_MOVES);
        String from = m.hasMove() ? m.getMove().getFromVersion() : m.getCurrentVersion();
        return known && !version.equals(from) ? OTHER_VERSION : from;
    }

    private static boolean isRejected(Model m, String version) {
        return m.getRejectedVersionsList().contains(version);
    }

    /** Records the start of an attempt; returns the version that it counts for, if any. */
    Optional<PoolId> onAttemptStart(BackendServer server, DispatchRequest request) {
        Optional<PoolId> pool = evidencePool(server);
        pool.ifPresent(p -> mDriver.onStart(p, request.route()));
        return pool;
    }

    /**
     * Records the end of an attempt.
     *
     * @param pool what its start returned; a version move may have begun since then, and the server
     *     may count for another version now
     */
    void onAttemptEnd(
            Optional<PoolId> pool, DispatchRequest request, AttemptResult result, long millis) {
        pool.ifPresent(p -> mDriver.onEnd(p, request.route(), result, millis));
    }

    private Optional<PoolId> evidencePool(BackendServer server) {
        return mModels.apply(server.service())
                .map(
                        m ->
                                PoolId.of(
                                        ModelId.of(m.getId()),
                                        VersionId.of(evidenceVersion(m, server.version()))));
    }
}
