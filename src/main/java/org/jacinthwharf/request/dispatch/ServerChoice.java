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

    /**
     * Servers that keep the same shared parts. Engines also keep what only one request used, so a
     * part that is used less often than the cache turns over is dropped; two servers halve the use.
     */
    private static final int HASHED_SERVERS = 1;

    /**
     * Part of the shortest objective that a prompt may wait at an engine until it is read. Engines
     * read in order of arrival, so whatever waits there delays every customer alike.
     */
    private static final double READING_PART = 0.4;

    /**
     * Part of an engine's cache that running requests may hold beside shared parts; what they hold
     * pushes kept parts out, and above the whole, engines preempt.
     */
    private static final double CACHE_PART = 0.6;

    /** Shared parts below this length are read again anywhere in a few milliseconds. */
    private static final int SMALL_SHARED_TOKENS = 1_000;

    /** An engine with a smaller part of its slots in use has time to read parts again. */
    private static final double IDLE_PART = 0.2;

    /** Service by which a customer may be ahead, in seconds of all engines' work. */
    private static final double WINDOW_SECONDS = 0.04;

    private static final double LEAST_WINDOW = 8_000;

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
     * What a choice is made for.
     *
     * @param aheadTokens service that the customer received beyond a customer that waits
     * @param anywhere whether the request may go where its shared parts have to be read again
     * @param excluded ids of servers that this request was sent to before
     */
    record Question(
            DispatchRequest request,
            ServiceGoals goals,
            double aheadTokens,
            boolean anywhere,
            Set<String> excluded) {}

    /**
     * Returns the best of the servers that have room.
     *
     * @param reading predicts the time to first events of the service's engines
     * @param candidates servers that may be sent to
     */
    Optional<BackendServer> choose(
            Question q, ReadingModel reading, List<BackendServer> candidates) {
        boolean engine = q.goals().isEngine();
        Set<String> hashed = engine ? hashed(q.request(), candidates) : Set.of();
        BackendServer best = null;
        double lowest = Double.MAX_VALUE;
        for (BackendServer s : candidates) {
            if (q.excluded().contains(s.id()) || !hasRoom(q, reading, s)) {
                continue;
            }
            if (engine && !q.anywhere() && !isNear(q.request(), s, hashed)) {
                continue;
            }
            double cost = engine ? engineCost(q.request(), s, hashed) : plainCost(s);
            if (cost < lowest) {
                lowest = cost;
                best = s;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean isNear(DispatchRequest r, BackendServer s, Set<String> hashed) {
        int shared = r.sharedTokens();
        return shared < SMALL_SHARED_TOKENS
                || hashed.contains(s.id())
                || s.cached(r.prompt()) >= HASHED_CACHE_PART * shared
                || s.runningOfAll() < IDLE_PART * s.slots();
    }

    private static boolean hasRoom(Question q, ReadingModel reading, BackendServer s) {
        Service service = q.goals().service();
        if (!q.goals().isEngine()) {
            return s.runningOfAll() < Math.ceil(PLAIN_QUEUE * s.slots());
        }
        // The same bound for all sizes of prompts: a bound that counts the prompt itself would let
        // small ones keep an engine so busy that large ones never get in.
        double waitMillis = reading.slope() * s.unreadOfAll();
        if (waitMillis > READING_PART * q.goals().objectiveMillis() * share(q)) {
            return false;
        }
        boolean fits =
                s.heldOfAll() + q.request().ownTokens() <= CACHE_PART * service.getCacheTokens()
                        || s.runningOfAll() == 0;
        return s.runningOfAll() < s.slots() && fits;
    }

    /**
     * Returns the part of an engine's room that a customer may use: less, the more service it got
     * beyond one that waits, at whatever gateway. So room is left for those that are behind, in the
     * order in which they are, and an engine without unread prompts takes anybody's.
     */
    private static double share(Question q) {
        double window = Math.max(LEAST_WINDOW, WINDOW_SECONDS * q.goals().tokensPerSecond());
        return 1 / (1 + q.aheadTokens() / window);
    }

    /** Returns the longest time to a first event that a choice allows, in milliseconds. */
    double mostMillis(ServiceGoals goals, ReadingModel reading) {
        return reading.millis(0) + READING_PART * goals.objectiveMillis();
    }

    private double engineCost(DispatchRequest request, BackendServer s, Set<String> hashed) {
        int shared = request.sharedTokens();
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
     * Returns the servers that the shared parts of the prompt hash to, the same at all gateways.
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
