package org.jacinthwharf.request.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Ints;

/**
 * The prompt of one request, divided into segments. All but the last segment form the shared
 * prefix, which other requests may have in common.
 *
 * <p>Immutable. The prompt of a request to a plain service is empty.
 */
public final class Prompt {
    private static final Prompt EMPTY = new Prompt(ImmutableList.of());

    private final ImmutableList<PromptSegment> mSegments;
    private final int mSharedSegments;
    private final int mSharedPrefixTokens;
    private final long mSharedPrefixHash;
    private final ImmutableSet<String> mLeadingSegmentIds;

    private Prompt(ImmutableList<PromptSegment> segments) {
        mSegments = segments;
        mSharedSegments = segments.size() < 2 ? segments.size() : segments.size() - 1;
        mSharedPrefixTokens =
                Ints.saturatedCast(
                        segments.subList(0, mSharedSegments).stream()
                                .mapToLong(PromptSegment::tokens)
                                .sum());
        mSharedPrefixHash =
                mSharedSegments == 0 ? 0 : Rendezvous.hash(segments.get(mSharedSegments - 1).id());
        mLeadingSegmentIds =
                segments.stream()
                        .limit(Math.max(0, segments.size() - 1))
                        .map(PromptSegment::id)
                        .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns a prompt of the given segments; a single segment counts as shared prefix. */
    public static Prompt of(ImmutableList<PromptSegment> segments) {
        return segments.isEmpty() ? EMPTY : new Prompt(segments);
    }

    ImmutableList<PromptSegment> segments() {
        return mSegments;
    }

    /** Returns the ids of all segments but the last, which belongs to one request or session. */
    public ImmutableSet<String> leadingSegmentIds() {
        return mLeadingSegmentIds;
    }

    /** Returns whether the prompt has a shared prefix. */
    boolean hasSharedPrefix() {
        return mSharedSegments > 0;
    }

    /** Returns the length of the shared prefix. */
    int sharedPrefixTokens() {
        return mSharedPrefixTokens;
    }

    /** Returns the hash that identifies the shared prefix, taken from its last segment. */
    long sharedPrefixHash() {
        return mSharedPrefixHash;
    }
}
