package org.jacinthwharf.request.admission;

/**
 * Tracks the sequence numbers of the messages between this router and one owner.
 *
 * <p>Invariant: a numbered grant is accepted at most once, and never after {@link
 * #rejectGrantsUpTo} closed its number. Not thread-safe. Memory is linear in the grants received
 * above the first gap.
 */
final class OwnerMessageTracker {
    private long mOwnerIncarnation;
    private long mReturnsSent;
    private final SequenceTracker mGrants = new SequenceTracker();

    /**
     * Records a grant; returns false if it must not be used. Number 0 denotes an unnumbered grant.
     */
    boolean acceptGrant(long ownerIncarnation, long number) {
        return number == 0 || updateIncarnation(ownerIncarnation) && mGrants.add(number);
    }

    /** Closes the grants up to a sequence number: they are rejected from now on. */
    void rejectGrantsUpTo(long ownerIncarnation, long number) {
        if (updateIncarnation(ownerIncarnation)) {
            mGrants.addAllUpTo(number);
        }
    }

    /** Returns false for an older incarnation; a newer one restarts its numbers at 1. */
    private boolean updateIncarnation(long ownerIncarnation) {
        if (ownerIncarnation > mOwnerIncarnation) {
            mOwnerIncarnation = ownerIncarnation;
            mGrants.clear();
        }
        return ownerIncarnation == mOwnerIncarnation;
    }

    long nextReturn() {
        return ++mReturnsSent;
    }

    long returnsSent() {
        return mReturnsSent;
    }

    /** Returns the greatest number up to which every grant was received or closed. */
    long grantsSeen() {
        return mGrants.contiguousUpTo();
    }

    long ownerIncarnation() {
        return mOwnerIncarnation;
    }
}
