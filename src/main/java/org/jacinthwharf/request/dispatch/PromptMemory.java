package org.jacinthwharf.request.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers which parts of prompts were sent to one model engine, least recently used first out.
 *
 * <p>An estimate: the engine may have dropped a part, and other gateways send parts too. Not
 * thread-safe. Invariant: the remembered parts together have at most the engine's cache size.
 */
final class PromptMemory {
    private final long mCapacity;
    private final LinkedHashMap<String, Integer> mParts = new LinkedHashMap<>(16, 0.75f, true);
    private long mTokens;

    /**
     * Creates an empty memory.
     *
     * @param capacity cache of the engine in tokens
     */
    PromptMemory(long capacity) {
        mCapacity = capacity;
    }

    /** Returns the tokens of the longest remembered run of parts at the start of a prompt. */
    int cached(List<PromptPart> prompt) {
        int tokens = 0;
        for (PromptPart p : prompt) {
            if (!mParts.containsKey(p.id())) {
                break;
            }
            tokens += p.tokens();
        }
        return tokens;
    }

    /** Takes note that a prompt was sent. */
    void add(List<PromptPart> prompt) {
        for (PromptPart p : prompt) {
            Integer known = mParts.put(p.id(), p.tokens());
            mTokens += p.tokens() - (known == null ? 0 : known);
        }
        while (mTokens > mCapacity && !mParts.isEmpty()) {
            Map.Entry<String, Integer> oldest = mParts.entrySet().iterator().next();
            mTokens -= oldest.getValue();
            mParts.remove(oldest.getKey());
        }
    }
}
