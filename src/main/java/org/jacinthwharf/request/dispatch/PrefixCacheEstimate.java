package org.jacinthwharf.request.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt segments one model engine has cached: those that were sent to it most
 * recently. Evicts the least recently used first.
 *
 * <p>The engine may have evicted a segment, and other gateways send segments too. Not thread-safe.
 * Invariant: the segments together have at most {@code capacity} tokens.
 */
final class PrefixCacheEstimate {
    private final long mCapacity;
    private final LinkedHashMap<String, Integer> mSegments = new LinkedHashMap<>(16, 0.75f, true);
    private long mTokens;

    /**
     * Creates an empty estimate.
     *
     * @param capacity tokens of the engine's KV cache that are taken into account
     */
    PrefixCacheEstimate(long capacity) {
        mCapacity = capacity;
    }

    /** Returns the length of the longest cached prefix of a prompt, in tokens. */
    int cachedTokens(List<PromptSegment> prompt) {
        int tokens = 0;
        for (PromptSegment p : prompt) {
            if (!mSegments.containsKey(p.id())) {
                break;
            }
            tokens += p.tokens();
        }
        return tokens;
    }

    /** Records that a prompt was sent. */
    void add(List<PromptSegment> prompt) {
        for (PromptSegment p : prompt) {
            Integer known = mSegments.put(p.id(), p.tokens());
            mTokens += p.tokens() - (known == null ? 0 : known);
        }
        while (mTokens > mCapacity && !mSegments.isEmpty()) {
            Map.Entry<String, Integer> oldest = mSegments.entrySet().iterator().next();
            mTokens -= oldest.getValue();
            mSegments.remove(oldest.getKey());
        }
    }
}
