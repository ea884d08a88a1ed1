package org.jacinthwharf.request.dispatch;

import com.google.common.collect.ImmutableList;

/**
 * The prompt of one request, in segments of which all but the last are shared with other requests.
 *
 * <p>Immutable. An empty prompt stands for a call of a plain service.
 */
public final class Prompt {
    private static final Prompt EMPTY = new Prompt(ImmutableList.of());

    private final ImmutableList<PromptSegment> mSegments;
    private final int mSharedSegments;
    private final int mSharedTokens;
    private final long mSharedHash;

    private Prompt(ImmutableList<PromptSegment> segments) {
        mSegments = segments;
        mSharedSegments = segments.size() < 2 ? segments.size() : segments.size() - 1;
        mSharedTokens =
                segments.subList(0, mSharedSegments).stream().mapToInt(PromptSegment::tokens).sum();
        mSharedHash =
                mSharedSegments == 0 ? 0 : Rendezvous.hash(segments.get(mSharedSegments - 1).id());
    }

    /** Returns a prompt of the given segments; a single segment counts as shared. */
    public static Prompt of(ImmutableList<PromptSegment> segments) {
        return segments.isEmpty() ? EMPTY : new Prompt(segments);
    }

    ImmutableList<PromptSegment> segments() {
        return mSegments;
    }

    /** Returns whether other requests may share a segment. */
    boolean isShared() {
        return mSharedSegments > 0;
    }

    /** Returns the length of the shared segments. */
    int sharedTokens() {
        return mSharedTokens;
    }

    /**
     * Returns the hash of the last shared segment; prompts that share all of them have the same.
     */
    long sharedHash() {
        return mSharedHash;
    }
}
