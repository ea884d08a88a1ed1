package org.jacinthwharf.request.dispatch;

import java.util.List;

/**
 * The preferred engines for the shared prefix of a prompt, chosen by rendezvous hash and so the
 * same for all gateways. There is one primary only: engines also cache what a single request used,
 * so a prefix that is used less often than the cache turns over is evicted, and a second primary
 * would halve the use of each copy. Immutable.
 *
 * @param primary gets all requests within its capacity; null if the prompt has no shared prefix
 * @param secondary is preferred for the others; null if there is no other engine
 */
record PreferredEngines(BackendServer primary, BackendServer secondary) {
    /** Fraction of the shared prefix that is assumed to be cached at the primary engine. */
    static final double PRIMARY_CACHED_FRACTION = 0.85;

    /**
     * Fraction of the shared prefix that is assumed to be cached at the secondary engine, to which
     * all gateways send what exceeds the capacity of the primary.
     */
    private static final double SECONDARY_CACHED_FRACTION = 0.1;

    /**
     * Fraction of the tokens that this gateway sent to an engine that is not the primary one that
     * are assumed to be cached there; without the requests of other gateways, they are evicted
     * sooner.
     */
    private static final double OTHER_CACHED_FRACTION = 0.7;

    /**
     * Fraction of an engine's capacity that is open to requests with another primary engine. Small:
     * overflow recomputes or copies its prefix, which evicts those of the requests that prefer this
     * engine, and then makes them overflow too. It goes to engines with nothing to prefill.
     */
    private static final double NON_PRIMARY_CAPACITY_FRACTION = 0.1;

    /** Any engine recomputes a shorter shared prefix within a few milliseconds. */
    static final int SHORT_PREFIX_TOKENS = 1_000;

    static PreferredEngines of(Prompt prompt, List<BackendServer> candidates) {
        BackendServer primary = null;
        BackendServer secondary = null;
        long highest = Long.MIN_VALUE;
        long secondHighest = Long.MIN_VALUE;
        if (!prompt.hasSharedPrefix()) {
            return new PreferredEngines(null, null);
        }
        for (BackendServer s : candidates) {
            long weight = Rendezvous.weight(prompt.sharedPrefixHash(), s.hash());
            if (primary == null || weight > highest) {
                secondary = primary;
                secondHighest = highest;
                primary = s;
                highest = weight;
            } else if (secondary == null || weight > secondHighest) {
                secondary = s;
                secondHighest = weight;
            }
        }
        return new PreferredEngines(primary, secondary);
    }

    /** Returns whether a server has the shared prefix cached, or recomputes it at little cost. */
    boolean isCachedOrShort(Prompt prompt, BackendServer s) {
        int shared = prompt.sharedPrefixTokens();
        return shared < SHORT_PREFIX_TOKENS
                || s == primary
                || s.cachedTokens(prompt) >= PRIMARY_CACHED_FRACTION * shared;
    }

    double openFraction(Prompt prompt, BackendServer s) {
        return s == primary || prompt.sharedPrefixTokens() < SHORT_PREFIX_TOKENS
                ? 1
                : NON_PRIMARY_CAPACITY_FRACTION;
    }

    double cachedTokens(Prompt prompt, BackendServer s) {
        double fraction =
                s == primary
                        ? PRIMARY_CACHED_FRACTION
                        : s == secondary ? SECONDARY_CACHED_FRACTION : 0;
        double sent = s.cachedTokens(prompt);
        return Math.max(
                s == primary ? sent : OTHER_CACHED_FRACTION * sent,
                fraction * prompt.sharedPrefixTokens());
    }
}
