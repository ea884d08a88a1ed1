package org.jacinthwharf.request.dispatch;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jacinthwharf.wire.generated.Service;

/**
 * Chooses the backend server for one request.
 *
 * <p>Model engines: the server at which the fewest prompt tokens have to be read before the first
 * event, counting what is cached there; so kept prefixes decide while load is even, and load
 * decides when it is not. Plain services: the least loaded server. Not thread-safe.
 */
final class ServerChoice {
    /** Weight of one running request in prompt tokens; it slows down every step of the engine. */
    private static final double RUNNING_TOKENS = 60;

    /** Prompt tokens that a choice outside of the own failure domain has to save. */
    private static final double FAR_TOKENS = 150;

    /** Part of the shared tokens that counts as cached where the prefix hash points to. */
    private static final double HASHED_CACHE_PART = 0.85;

    /** Servers that keep the same shared parts. */
    private static final int HASHED_SERVERS = 2;

    /**
     * Part of the shortest objective that a prompt may wait at an engine until it is read. Engines
     * read in order of arrival, so whatever waits there delays every customer alike.
     */
    private static final double READING_PART = 0.4;

    /** Part of an engine's cache that running requests may hold; above it, engines preempt. */
    private static final double CACHE_PART = 0.85;

    /**
     * Requests in the queue of a plain server, for each slot, so that no slot idles a round trip.
     */
    private static final double PLAIN_QUEUE = 1.34;

    /** Extra load of a plain server outside of the own failure domain, in parts of its slots. */
    private static final double FAR_LOAD = 0.25;

    private final String mFailureDomain;
    private final RandomGenerator mRandom;

    ServerChoice(String failureDomain, RandomGenerator random) {
        mFailureDomain = failureDomain;
        mRandom = random;
    }

    /**
     * Returns the best of the servers that have room.
     *
     * @param reading predicts the time to first events of the service's engines
     * @param candidates servers that may be sent to
     * @param excluded ids of servers that this request was sent to before
     */
    Optional<BackendServer> choose(
            DispatchRequest request,
            ServiceGoals goals,
            ReadingModel reading,
            List<BackendServer> candidates,
            Set<String> excluded) {
        boolean engine = goals.isEngine();
        Set<String> hashed = engine ? hashed(request, candidates) : Set.of();
        BackendServer best = null;
        double lowest = Double.MAX_VALUE;
        for (BackendServer s : candidates) {
            if (excluded.contains(s.id()) || !hasRoom(request, goals, reading, s)) {
                continue;
            }
            double cost = engine ? engineCost(request, s, hashed) : plainCost(s);
            if (cost < lowest) {
                lowest = cost;
                best = s;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean hasRoom(
            DispatchRequest request, ServiceGoals goals, ReadingModel reading, BackendServer s) {
        Service service = goals.service();
        if (!goals.isEngine()) {
            return s.runningOfAll() < Math.ceil(PLAIN_QUEUE * s.slots());
        }
        // The same bound for all sizes of prompts: a bound that counts the prompt itself would let
        // small ones keep an engine so busy that large ones never get in.
        double waitMillis = reading.slope() * s.unreadOfAll();
        if (waitMillis > READING_PART * goals.objectiveMillis()) {
            return false;
        }
        boolean fits =
                s.heldOfAll() + request.tokens() <= CACHE_PART * service.getCacheTokens()
                        || s.runningOfAll() == 0;
        return s.runningOfAll() < s.slots() && fits;
    }

    /** Returns the longest time to a first event that a choice allows, in milliseconds. */
    double mostMillis(ServiceGoals goals, ReadingModel reading) {
        return reading.millis(0) + READING_PART * goals.objectiveMillis();
    }

    private double engineCost(DispatchRequest request, BackendServer s, Set<String> hashed) {
        int shared = request.sharedParts().stream().mapToInt(PromptPart::tokens).sum();
        double cached = s.cached(request.prompt());
        if (hashed.contains(s.id())) {
            cached = Math.max(cached, HASHED_CACHE_PART * shared);
        }
        double unread = Math.max(0, request.promptTokens() - cached);
        double reread = Math.max(0, shared - cached);
        double far = s.failureDomain().equals(mFailureDomain) ? 0 : FAR_TOKENS;
        return s.unreadOfAll() + unread + reread + RUNNING_TOKENS * s.runningOfAll() + far;
    }

    private double plainCost(BackendServer s) {
        double far = s.failureDomain().equals(mFailureDomain) ? 0 : FAR_LOAD;
        double tie = mRandom.nextDouble() / (4 * s.slots());
        return (double) s.runningOfAll() / s.slots() + far + tie;
    }

    /**
     * Returns the servers that the shared parts of the prompt hash to, the same at all gateways:
     * two, so that one busy server does not send the parts everywhere.
     */
    private static Set<String> hashed(DispatchRequest request, List<BackendServer> candidates) {
        List<PromptPart> shared = request.sharedParts();
        if (shared.isEmpty()) {
            return Set.of();
        }
        String key = shared.get(shared.size() - 1).id();
        return candidates.stream()
                .sorted(
                        Comparator.comparingLong((BackendServer s) -> weight(key, s.id()))
                                .reversed())
                .limit(HASHED_SERVERS)
                .map(BackendServer::id)
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the rendezvous weight of a server for a key. */
    static long weight(String key, String server) {
        return Hashing.murmur3_128()
                .hashString(key + "|" + server, StandardCharsets.UTF_8)
                .asLong();
    }
}
