package org.jacinthwharf.process.gateway;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.jacinthwharf.id.ModelId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.id.VersionId;
import org.jacinthwharf.process.moves.EvidenceSink;
import org.jacinthwharf.process.moves.VersionDriver;
import org.jacinthwharf.request.dispatch.BackendServer;
import org.jacinthwharf.request.dispatch.DispatchRequest;
import org.jacinthwharf.request.dispatch.VersionGate;
import org.jacinthwharf.version.VersionSplit;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.MovePhase;

/**
 * Sends each request to the version that the moves of its service allow, and counts how versions
 * answer.
 *
 * <p>Used on the event loop only. Invariant: a version that was rolled back gets nothing; the
 * target of a move under way gets the requests that the move gives it and no others.
 */
final class VersionRules implements VersionGate {
    private final Function<String, Optional<Model>> mModels;

    /** More than the requests that wait at once. */
    private static final int MAX_CHOSEN = 4_096;

    private final VersionDriver mDriver;
    private final Map<String, String> mChosen =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
                    return size() > MAX_CHOSEN;
                }
            };

    VersionRules(Function<String, Optional<Model>> models, VersionDriver driver) {
        mModels = models;
        mDriver = driver;
    }

    @Override
    public List<BackendServer> allowed(
            DispatchRequest request, List<BackendServer> servers, boolean repeat) {
        Optional<Model> model = mModels.apply(request.service());
        if (model.isEmpty()) {
            return servers;
        }
        Model m = model.get();
        String chosen =
                repeat ? VersionDriver.chooseForRetry(m).version().value() : chosen(m, request);
        List<BackendServer> matching =
                servers.stream().filter(s -> label(m, s.version()).equals(chosen)).toList();
        if (!matching.isEmpty()) {
            return matching;
        }
        // Replacements may come in a version that no move named.
        String target = m.getMove().getToVersion();
        boolean targetTaken = m.hasMove() && m.getMove().getPhase() != MovePhase.DONE;
        return servers.stream().filter(s -> !(targetTaken && s.version().equals(target))).toList();
    }

    /** Chooses once for each request, since the driver counts what it chooses. */
    private String chosen(Model m, DispatchRequest request) {
        if (!m.hasMove()) {
            return m.getCurrentVersion();
        }
        String key = m.getMove().getId() + "/" + m.getMove().getPhase() + "/" + request.id();
        return mChosen.computeIfAbsent(
                key,
                k ->
                        mDriver.choose(m, RequestId.of(request.id()), request.route())
                                .version()
                                .value());
    }

    /** Returns the version that the move counts a server under. */
    private static String label(Model m, String version) {
        if (m.hasMove() && version.equals(m.getMove().getToVersion())) {
            return version;
        }
        boolean known = !m.getCurrentVersion().equals(VersionSplit.VERSION_BEFORE_MOVES);
        String from = m.hasMove() ? m.getMove().getFromVersion() : m.getCurrentVersion();
        return known && !version.equals(from) ? "other" : from;
    }

    void onSent(BackendServer server, DispatchRequest request) {
        pool(server).ifPresent(p -> mDriver.onStart(p, request.route()));
    }

    void onEnd(BackendServer server, DispatchRequest request, Optional<Boolean> good, long millis) {
        EvidenceSink.CompletionStatus status =
                good.map(
                                g ->
                                        g
                                                ? EvidenceSink.CompletionStatus.COMPLETE
                                                : EvidenceSink.CompletionStatus.FAILED)
                        .orElse(EvidenceSink.CompletionStatus.WITHOUT_EVIDENCE);
        pool(server).ifPresent(p -> mDriver.onEnd(p, request.route(), status, millis));
    }

    private Optional<PoolId> pool(BackendServer server) {
        return mModels.apply(server.service())
                .map(
                        m ->
                                PoolId.of(
                                        ModelId.of(m.getId()),
                                        VersionId.of(label(m, server.version()))));
    }
}
