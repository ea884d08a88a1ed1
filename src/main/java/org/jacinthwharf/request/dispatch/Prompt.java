package org.jacinthwharf.request.dispatch;

import com.google.common.collect.ImmutableList;

/**
 * The prompt of one request, in parts of which all but the last are shared with other requests.
 *
 * <p>Immutable. An empty prompt stands for a call of a plain service.
 */
public final class Prompt {
    private static final Prompt EMPTY = new Prompt(ImmutableList.of());

    private final ImmutableList<PromptPart> mParts;
    private final int mSharedParts;
    private final int mSharedTokens;
    private final long mSharedHash;

    private Prompt(ImmutableList<PromptPart> parts) {
        mParts = parts;
        mSharedParts = parts.size() < 2 ? parts.size() : parts.size() - 1;
        mSharedTokens = parts.subList(0, mSharedParts).stream().mapToInt(PromptPart::tokens).sum();
        mSharedHash = mSharedParts == 0 ? 0 : Rendezvous.hash(parts.get(mSharedParts - 1).id());
    }

    /** Returns a prompt of the given parts; a single part counts as shared. */
    public static Prompt of(ImmutableList<PromptPart> parts) {
        return parts.isEmpty() ? EMPTY : new Prompt(parts);
    }

    ImmutableList<PromptPart> parts() {
        return mParts;
    }

    /** Returns whether other requests may share a part. */
    boolean isShared() {
        return mSharedParts > 0;
    }

    /** Returns the length of the shared parts. */
    int sharedTokens() {
        return mSharedTokens;
    }

    /** Returns the hash of the last shared part; prompts that share all of them have the same. */
    long sharedHash() {
        return mSharedHash;
    }
}
