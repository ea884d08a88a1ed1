package org.jacinthwharf.request.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers which segments of prompts were sent to one model engine, least recently used first out.
 *
 * <p>An estimate: the engine may have dropped a segment, and other gateways send segments too. Not
 * thread-safe. Invariant: the remembered segments together have at most the engine's cache size.
 */
final class PromptMemory {
    private final long mCapacity;
    private final LinkedHashMap<String, Integer> mSegments = new LinkedHashMap<>(16, 0.75f, true);
    private long mTokens;

    /**
     * Creates an empty memory.
     *
     * @param capacity cache of the engine in tokens
     */
    PromptMemory(long capacity) {
        mCapacity = capacity;
    }

    /** Returns the tokens of the longest remembered run of segments at the start of a prompt. */
    int cached(List<PromptSegment> prompt) {
        int tokens = 0;
        for (PromptSegment p : prompt) {
            if (!mSegments.containsKey(p.id())) {
                break;
            }
            tokens += p.tokens();
        }
        return tokens;
    }

    /** Takes note that a prompt was sent. */
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
