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
 * <p>Model engines: the server with the fewest prompt tokens to prefill before the first token,
 * cached prefixes subtracted. So cached prefixes decide while load is even, and load decides
 * otherwise. Where engines can copy cached tokens from each other, a prompt that goes to an engine
 * without its shared prefix names one that has it. Plain services: the least loaded server. Not
 * thread-safe.
 */
final class ServerChoice {
    /** Cost of one running request in prompt tokens; it slows down every step of the engine. */
    private static final double RUNNING_REQUEST_TOKENS = 60;

    /** Cost of a placement in a remote failure domain, in prompt tokens. */
    private static final double REMOTE_ENGINE_TOKENS = 150;

    /**
     * Cost of a recomputed shared token in prompt tokens. Besides the prefill, it evicts prefixes
     * of other requests from the engine's KV cache.
     */
    private static final double RECOMPUTED_TOKEN_COST = 6;

    /**
     * Cost of a copied token in prompt tokens, besides the time of the copy: it evicts prefixes of
     * other requests, which can be copied as well.
     */
    private static final double COPIED_TOKEN_COST = 2;

    /**
     * Fraction of the shortest objective that a prompt may wait at an engine for its prefill.
     * Engines prefill in order of arrival, so a queue there delays all customers alike.
     */
    private static final double PREFILL_WAIT_FRACTION = 0.5;

    /**
     * Fraction of an engine's KV cache that running requests may hold besides shared prefixes.
     * These tokens evict cached prefixes, and beyond the whole cache, engines preempt requests.
     */
    private static final double HELD_CACHE_FRACTION = 0.6;

    /** An engine with a smaller fraction of its slots in use has time to recompute prefixes. */
    private static final double IDLE_SLOTS_FRACTION = 0.2;

    /** Lead in service that halves a customer's capacity, in seconds of all engines' throughput. */
    private static final double HALVING_LEAD_SECONDS = 0.04;

    /** Minimum of that lead, in tokens. */
    private static final double MIN_HALVING_LEAD_TOKENS = 8_000;

    /** A customer with a lower capacity fraction is far ahead of a backlogged customer. */
    private static final double FAR_AHEAD_FRACTION = 0.25;

    /** Increase of the wait for an empty engine each time that the lead halves the capacity. */
    private static final double WAIT_PER_HALVING_IN_LOAD_DELAYS = 0.4;

    /** Bound on the halvings that increase the wait, so that engines do not idle long. */
    private static final double MAX_WAIT_HALVINGS = 5;

    /** Range of the pseudo-random part of the waits for an empty engine. */
    private static final long FAR_AHEAD_WAIT_RANGE_NANOS = 30_000_000L;

    /** Requests per slot of a plain server; above 1, so that no slot idles for a round trip. */
    private static final double PLAIN_REQUESTS_PER_SLOT = 1.34;

    /** Load added to plain servers in a remote failure domain, as a fraction of their slots. */
    private static final double REMOTE_SERVER_LOAD = 0.25;

    private final String mFailureDomain;
    private final RandomGenerator mRandom;

    ServerChoice(String failureDomain, RandomGenerator random) {
        mFailureDomain = failureDomain;
        mRandom = random;
    }

    /**
     * The request to place and the limits of its placement.
     *
     * @param aheadTokens service that the customer received beyond the backlogged customer with the
     *     least, in tokens
     * @param relativeLead the same as a fraction of the largest that a backlogged customer received
     * @param anyEngine whether engines that have to recompute the shared prefix are allowed
     * @param excluded ids of servers that this request was sent to before
     * @param loadDelayNanos time until the other gateways know of a placement
     * @param staleLoad whether the load of the other gateways is not known at present
     */
    record Criteria(
            DispatchRequest request,
            ServiceObjectives objectives,
            double aheadTokens,
            double relativeLead,
            boolean anyEngine,
            Set<String> excluded,
            long loadDelayNanos,
            boolean staleLoad,
            long nowNanos) {}

    /**
     * A chosen server.
     *
     * @param prefillTokens tokens that the engine is expected to prefill before the first token,
     *     the time of a copy included
     * @param cacheSource engine to copy the shared prefix from, if that is worthwhile
     */
    record Choice(BackendServer server, long prefillTokens, Optional<BackendServer> cacheSource) {}

    /**
     * Returns the server with the lowest cost of those that have capacity.
     *
     * @param prefillModel predicts the time to first token of the service's engines
     * @param candidates servers that may be sent requests, regardless of load
     */
    Optional<Choice> choose(Criteria c, PrefillModel prefillModel, List<BackendServer> candidates) {
        List<BackendServer> remaining =
                c.excluded().isEmpty()
                        ? candidates
                        : candidates.stream().filter(s -> !c.excluded().contains(s.id())).toList();
        return c.objectives().isEngine()
                ? chooseEngine(c, prefillModel, remaining)
                : choosePlain(remaining);
    }

    private Optional<Choice> choosePlain(List<BackendServer> candidates) {
        return cheapest(candidates, ServerChoice::hasPlainCapacity, this::plainCost)
                .map(s -> new Choice(s, 0, Optional.empty()));
    }

    private static boolean hasPlainCapacity(BackendServer s) {
        return s.totalRunning() < Math.ceil(PLAIN_REQUESTS_PER_SLOT * s.slots());
    }

    /**
     * Returns whether a server may have capacity for some request. Cheaper than {@link #choose},
     * and false for all servers under overload.
     */
    static boolean mayHaveCapacity(
            ServiceObjectives objectives, double millisPerToken, BackendServer s) {
        return objectives.isEngine()
                ? s.totalRunning() < s.slots()
                        && millisPerToken * s.totalPendingPrefillTokens()
                                <= PREFILL_WAIT_FRACTION * objectives.objectiveMillis()
                : hasPlainCapacity(s);
    }

    private Optional<Choice> chooseEngine(
            Criteria c, PrefillModel prefillModel, List<BackendServer> candidates) {
        Prompt prompt = c.request().prompt();
        PreferredEngines preferred = PreferredEngines.of(prompt, candidates);
        double customerFraction = customerFraction(c);
        double millisPerToken = prefillModel.millisPerToken();
        CacheSources sources =
                c.objectives().hasCacheTransfers()
                        ? CacheSources.of(prompt, preferred, candidates)
                        : CacheSources.NONE;
        double copyRatio = c.objectives().transferMillisPerToken() / millisPerToken;
        return cheapest(
                        candidates,
                        s -> {
                            boolean idle = s.totalRunning() < IDLE_SLOTS_FRACTION * s.slots();
                            return hasCapacity(
                                            c,
                                            millisPerToken,
                                            s,
                                            customerFraction,
                                            preferred.openFraction(prompt, s))
                                    && (c.anyEngine()
                                            || idle
                                            || preferred.isCachedOrShort(prompt, s)
                                            || sources.find(s).isPresent());
                        },
                        s ->
                                engineCost(c.request(), s, preferred, sources, copyRatio)
                                        + tieBreak(c.staleLoad()))
                .map(s -> engineChoice(c.request(), s, preferred, sources, copyRatio));
    }

    private static Choice engineChoice(
            DispatchRequest request,
            BackendServer s,
            PreferredEngines preferred,
            CacheSources sources,
            double copyRatio) {
        double copied = sources.copiedTokens(s);
        double prefill =
                request.promptTokens() - preferred.cachedTokens(request.prompt(), s) - copied;
        return new Choice(s, (long) Math.max(0, prefill + copied * copyRatio), sources.find(s));
    }

    /** Returns the allowed server with the lowest cost; computes each cost once. */
    private static Optional<BackendServer> cheapest(
            List<BackendServer> candidates,
            Predicate<BackendServer> allowed,
            ToDoubleFunction<BackendServer> cost) {
        BackendServer best = null;
        double lowest = Double.MAX_VALUE;
        for (BackendServer s : candidates) {
            double current = allowed.test(s) ? cost.applyAsDouble(s) : Double.MAX_VALUE;
            if (current < lowest) {
                lowest = current;
                best = s;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean hasCapacity(
            Criteria c,
            double millisPerToken,
            BackendServer s,
            double customerFraction,
            double openFraction) {
        Service service = c.objectives().service();
        // The bound does not depend on the size of the prompt: a bound that includes the prompt
        // itself would let small prompts starve large ones.
        double waitMillis = millisPerToken * s.totalPendingPrefillTokens();
        if (waitMillis
                > PREFILL_WAIT_FRACTION
                        * c.objectives().objectiveMillis()
                        * customerFraction
                        * openFraction) {
            return false;
        }
        if (customerFraction < FAR_AHEAD_FRACTION
                && c.nowNanos() - s.lastPendingPrefillNanos()
                        < farAheadWaitNanos(c, customerFraction, s)) {
            return false;
        }
        boolean fits =
                s.totalHeldTokens() + c.request().ownTokens()
                                <= HELD_CACHE_FRACTION * service.getCacheTokens()
                        || s.totalRunning() == 0;
        return s.totalRunning() < s.slots() && fits;
    }

    /**
     * Returns the fraction of an engine's capacity that a customer may use. It falls with the
     * service that the customer received beyond a customer that is backlogged at any gateway. So
     * capacity is left for customers with less service, in the order of that service, and an engine
     * without pending prefill tokens is open to all.
     */
    private static double customerFraction(Criteria c) {
        double halvingLeadTokens =
                Math.max(
                        MIN_HALVING_LEAD_TOKENS,
                        HALVING_LEAD_SECONDS * c.objectives().tokensPerSecond());
        return 1 / (1 + c.aheadTokens() / halvingLeadTokens);
    }

    /**
     * Returns how long an engine must have had no pending prefill tokens before it is sent a prompt
     * of a customer that is far ahead.
     *
     * <p>A gateway whose request has finished its prefill knows so one load delay before the
     * others, so customers far ahead must not take the engine at once. The wait grows with the
     * lead, since several customers may be far ahead of the one that is furthest behind, and
     * otherwise the one with the most gateways would win most races between them. It is bounded, so
     * it is scaled by the relative lead: the order among customers that all reach the bound is that
     * of their leads. The gateways of one customer wait for pseudo-random times, and see what the
     * first one of them sent.
     */
    private static long farAheadWaitNanos(Criteria c, double customerFraction, BackendServer s) {
        double halvings = Math.min(MAX_WAIT_HALVINGS, -Math.log(customerFraction) / Math.log(2));
        long draw = Rendezvous.weight(s.hash(), s.lastPendingPrefillNanos()) >>> 1;
        double perHalving = WAIT_PER_HALVING_IN_LOAD_DELAYS * c.loadDelayNanos();
        return (long) (c.relativeLead() * halvings * perHalving)
                + draw % FAR_AHEAD_WAIT_RANGE_NANOS;
    }

    /** Returns the tokens of a prompt that its engine is expected to prefill. */
    static double expectedPrefillTokens(DispatchRequest request) {
        return Math.max(
                0,
                request.promptTokens()
                        - PreferredEngines.PRIMARY_CACHED_FRACTION
                                * request.prompt().sharedPrefixTokens());
    }

    /** Returns the longest predicted time to first token that is accepted, in milliseconds. */
    double maxFirstTokenMillis(ServiceObjectives objectives, PrefillModel prefillModel) {
        return prefillModel.predictMillis(0) + PREFILL_WAIT_FRACTION * objectives.objectiveMillis();
    }

    private double engineCost(
            DispatchRequest request,
            BackendServer s,
            PreferredEngines preferred,
            CacheSources sources,
            double copyRatio) {
        double copied = sources.copiedTokens(s);
        double cached = preferred.cachedTokens(request.prompt(), s) + copied;
        double prefill = Math.max(0, request.promptTokens() - cached);
        double recomputed = Math.max(0, request.prompt().sharedPrefixTokens() - cached);
        double remote = s.failureDomain().equals(mFailureDomain) ? 0 : REMOTE_ENGINE_TOKENS;
        return s.totalPendingPrefillTokens()
                + prefill
                + RECOMPUTED_TOKEN_COST * recomputed
                + (copyRatio + COPIED_TOKEN_COST) * copied
                + RUNNING_REQUEST_TOKENS * s.totalRunning()
                + remote;
    }

    /**
     * Returns a random cost below that of one running request if loads are stale. Without it, all
     * gateways choose the same one of the engines that seem equal.
     */
    private double tieBreak(boolean staleLoad) {
        return staleLoad ? mRandom.nextDouble() * RUNNING_REQUEST_TOKENS : 0;
    }

    private double plainCost(BackendServer s) {
        double remote = s.failureDomain().equals(mFailureDomain) ? 0 : REMOTE_SERVER_LOAD;
        double tie = mRandom.nextDouble() / (4 * s.slots());
        return (double) s.totalRunning() / s.slots() + remote + tie;
    }
}
