package org.jacinthwharf.request.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
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

    /** Part of the shared tokens that counts as kept at the home of a prompt. */
    private static final double HOME_KEPT_PART = 0.85;

    /**
     * Part of the shared tokens that counts as kept at the second home: all gateways send there
     * what the home has no room for.
     */
    private static final double SECOND_KEPT_PART = 0.1;

    /**
     * Weight of a shared token that has to be read again. Reading it costs the engine once, and
     * pushes out of the engine's cache what other requests share.
     */
    private static final double REREAD_WEIGHT = 6;

    /**
     * Part of an engine's room that is open to requests which have their home elsewhere, so that an
     * engine does not turn away its own for the overflow of another.
     */
    private static final double GUEST_PART = 0.5;

    /**
     * Part of the shortest objective that a prompt may wait at an engine until it is read. Engines
     * read in order of arrival, so whatever waits there delays every customer alike.
     */
    private static final double READING_PART = 0.4;

    /**
     * Part of an engine's cache that running requests may hold beside shared segments; what they
     * hold pushes kept segments out, and above the whole, engines preempt.
     */
    private static final double CACHE_PART = 0.6;

    /** Shared segments below this length are read again anywhere in a few milliseconds. */
    private static final int SMALL_SHARED_TOKENS = 1_000;

    /** An engine with a smaller part of its slots in use has time to read segments again. */
    private static final double IDLE_PART = 0.2;

    /** Service by which a customer may be ahead, in seconds of all engines' work. */
    private static final double WINDOW_SECONDS = 0.04;

    private static final double LEAST_WINDOW = 8_000;

    /** Below this part of the room, a customer is far ahead of one that waits. */
    private static final double AHEAD_SHARE = 0.25;

    /** Several times what it takes until all gateways know of a request that was sent. */
    private static final long LONGEST_AHEAD_WAIT_NANOS = 100_000_000L;

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
     * @param anywhere whether the request may go where its shared segments have to be read again
     * @param excluded ids of servers that this request was sent to before
     * @param nowNanos current time
     */
    record Question(
            DispatchRequest request,
            ServiceObjectives objectives,
            double aheadTokens,
            boolean anywhere,
            Set<String> excluded,
            long nowNanos) {}

    /**
     * Returns the best of the servers that have room.
     *
     * @param reading predicts the time to first events of the service's engines
     * @param candidates servers that may be sent to
     */
    Optional<BackendServer> choose(
            Question q, ReadingModel reading, List<BackendServer> candidates) {
        List<BackendServer> left =
                candidates.stream().filter(s -> !q.excluded().contains(s.id())).toList();
        return q.objectives().isEngine() ? engine(q, reading, left) : plain(left);
    }

    private Optional<BackendServer> plain(List<BackendServer> candidates) {
        return cheapest(
                candidates,
                s -> s.runningOfAll() < Math.ceil(PLAIN_QUEUE * s.slots()),
                this::plainCost);
    }

    private Optional<BackendServer> engine(
            Question q, ReadingModel reading, List<BackendServer> candidates) {
        Prompt prompt = q.request().prompt();
        Homes homes = Homes.of(prompt, candidates);
        double share = share(q);
        return cheapest(
                candidates,
                s -> {
                    boolean idle = s.runningOfAll() < IDLE_PART * s.slots();
                    boolean mayEnter = q.anywhere() || idle || homes.isKept(prompt, s);
                    return mayEnter && hasRoom(q, reading, s, share, homes.roomPart(prompt, s));
                },
                s -> engineCost(q.request(), s, homes));
    }

    /** Returns the server with the lowest cost; each cost is computed once. */
    private static Optional<BackendServer> cheapest(
            List<BackendServer> candidates,
            Predicate<BackendServer> allowed,
            ToDoubleFunction<BackendServer> cost) {
        BackendServer best = null;
        double lowest = Double.MAX_VALUE;
        for (BackendServer s : candidates) {
            double own = allowed.test(s) ? cost.applyAsDouble(s) : Double.MAX_VALUE;
            if (own < lowest) {
                lowest = own;
                best = s;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * The engines that keep the shared segments of a prompt, the same for all gateways. One is
     * enough: engines also keep what only one request used, so a segment that is used less often
     * than the cache turns over is dropped, and two engines halve the use.
     *
     * @param first gets all requests it has room for; null if the prompt shares nothing
     * @param second gets the others first; null if there is none
     */
    private record Homes(BackendServer first, BackendServer second) {
        static Homes of(Prompt prompt, List<BackendServer> candidates) {
            BackendServer first = null;
            BackendServer second = null;
            long highest = Long.MIN_VALUE;
            long next = Long.MIN_VALUE;
            if (!prompt.isShared()) {
                return new Homes(null, null);
            }
            for (BackendServer s : candidates) {
                long weight = Rendezvous.weight(prompt.sharedHash(), s.hash());
                if (first == null || weight > highest) {
                    second = first;
                    next = highest;
                    first = s;
                    highest = weight;
                } else if (second == null || weight > next) {
                    second = s;
                    next = weight;
                }
            }
            return new Homes(first, second);
        }

        /** Returns whether a server keeps the shared segments, or reads them again in no time. */
        boolean isKept(Prompt prompt, BackendServer s) {
            int shared = prompt.sharedTokens();
            return shared < SMALL_SHARED_TOKENS
                    || s == first
                    || s.cached(prompt) >= HOME_KEPT_PART * shared;
        }

        double roomPart(Prompt prompt, BackendServer s) {
            return s == first || prompt.sharedTokens() < SMALL_SHARED_TOKENS ? 1 : GUEST_PART;
        }

        double kept(Prompt prompt, BackendServer s) {
            double part = s == first ? HOME_KEPT_PART : s == second ? SECOND_KEPT_PART : 0;
            return Math.max(s.cached(prompt), part * prompt.sharedTokens());
        }
    }

    private static boolean hasRoom(
            Question q, ReadingModel reading, BackendServer s, double share, double part) {
        Service service = q.objectives().service();
        // The same bound for all sizes of prompts: a bound that counts the prompt itself would let
        // small ones keep an engine so busy that large ones never get in.
        double waitMillis = reading.slope() * s.unreadOfAll();
        if (waitMillis > READING_PART * q.objectives().objectiveMillis() * share * part) {
            return false;
        }
        if (share < AHEAD_SHARE && q.nowNanos() - s.lastUnreadNanos() < aheadWait(s)) {
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
        double window = Math.max(LEAST_WINDOW, WINDOW_SECONDS * q.objectives().tokensPerSecond());
        return 1 / (1 + q.aheadTokens() / window);
    }

    /**
     * Returns how long an engine has to be without unread prompts before it takes those of a
     * customer that is far ahead. All gateways see at the same moment that an engine has read its
     * prompts; each waits for a time of its own, and then sees what the first one sent.
     */
    private static long aheadWait(BackendServer s) {
        long draw = Rendezvous.weight(s.hash(), s.lastUnreadNanos()) >>> 1;
        return draw % LONGEST_AHEAD_WAIT_NANOS;
    }

    /** Returns the longest time to a first event that a choice allows, in milliseconds. */
    double mostMillis(ServiceObjectives objectives, ReadingModel reading) {
        return reading.millis(0) + READING_PART * objectives.objectiveMillis();
    }

    private double engineCost(DispatchRequest request, BackendServer s, Homes homes) {
        double kept = homes.kept(request.prompt(), s);
        double unread = Math.max(0, request.promptTokens() - kept);
        double reread = Math.max(0, request.prompt().sharedTokens() - kept);
        double far = s.failureDomain().equals(mFailureDomain) ? 0 : FAR_TOKENS;
        return s.unreadOfAll()
                + unread
                + REREAD_WEIGHT * reread
                + RUNNING_TOKENS * s.runningOfAll()
                + far;
    }

    private double plainCost(BackendServer s) {
        double far = s.failureDomain().equals(mFailureDomain) ? 0 : FAR_LOAD;
        double tie = mRandom.nextDouble() / (4 * s.slots());
        return (double) s.runningOfAll() / s.slots() + far + tie;
    }
}
