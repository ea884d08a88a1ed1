package org.jacinthwharf.request.dispatch;

import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The engines that most likely have most of a prompt's shared prefix cached, and so can be copied
 * from. Immutable.
 *
 * @param sharedTokens length of the shared prefix
 * @param cachedTokens expected cached tokens of each engine
 * @param first the engine with the most expected tokens; null if there is none
 * @param second the engine with the most but one; null if there is none
 */
record CacheSources(
        int sharedTokens,
        Map<BackendServer, Double> cachedTokens,
        BackendServer first,
        BackendServer second) {
    /** Fraction of the shared prefix that an engine must be expected to have to be copied from. */
    private static final double MIN_SOURCE_FRACTION = 0.6;

    static final CacheSources NONE = new CacheSources(0, Map.of(), null, null);

    static CacheSources of(
            Prompt prompt, PreferredEngines preferred, List<BackendServer> candidates) {
        if (prompt.sharedPrefixTokens() < PreferredEngines.SHORT_PREFIX_TOKENS) {
            return NONE;
        }
        Map<BackendServer, Double> cached = new IdentityHashMap<>();
        BackendServer first = null;
        BackendServer second = null;
        for (BackendServer s : candidates) {
            double tokens =
                    Math.min(prompt.sharedPrefixTokens(), preferred.cachedTokens(prompt, s));
            cached.put(s, tokens);
            if (first == null || tokens > cached.get(first)) {
                second = first;
                first = s;
            } else if (second == null || tokens > cached.get(second)) {
                second = s;
            }
        }
        return new CacheSources(prompt.sharedPrefixTokens(), cached, first, second);
    }

    /** Returns the engine that {@code s} can copy a good part of the prefix from. */
    Optional<BackendServer> find(BackendServer s) {
        BackendServer source = s == first ? second : first;
        return source != null
                        && source.version().equals(s.version())
                        && cachedTokens.get(source) >= MIN_SOURCE_FRACTION * sharedTokens
                        && missingTokens(source, s) >= PreferredEngines.SHORT_PREFIX_TOKENS
                ? Optional.of(source)
                : Optional.empty();
    }

    /**
     * Returns the engine that most likely had the prefix before {@code s} became the primary one,
     * or that would be the primary one without it. An engine that started or came back is sent
     * prompts whose prefixes it has not read yet.
     *
     * @param others engines that can be copied from, among them those that are about to leave
     */
    static Optional<BackendServer> likelyHolder(
            Prompt prompt, BackendServer s, Stream<BackendServer> others) {
        if (prompt.sharedPrefixTokens() < PreferredEngines.SHORT_PREFIX_TOKENS) {
            return Optional.empty();
        }
        return others.filter(o -> o != s && o.version().equals(s.version()))
                .max(
                        Comparator.comparingLong(
                                o -> Rendezvous.weight(prompt.sharedPrefixHash(), o.hash())));
    }

    /** Returns the number of tokens that {@code s} is expected to copy. */
    double copiedTokens(BackendServer s) {
        return find(s).map(source -> missingTokens(source, s)).orElse(0.0);
    }

    private double missingTokens(BackendServer source, BackendServer s) {
        return cachedTokens.get(source) - cachedTokens.get(s);
    }
}
