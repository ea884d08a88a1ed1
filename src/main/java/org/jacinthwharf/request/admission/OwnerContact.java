package org.jacinthwharf.request.admission;

/**
 * What a router knows of the messages between it and one owner.
 *
 * <p>Invariant: a grant is accepted at most once, and never after its number was closed. Not
 * thread-safe. Holds the numbers that arrived after a missing one.
 */
final class OwnerContact {
    private long mOwnerIncarnation;
    private long mReturnsSent;
    private final NumberSet mGrants = new NumberSet();

    /**
     * Notes a grant; returns false if it must not be used. Number 0 stands for an unnumbered one.
     */
    boolean accept(long ownerIncarnation, long number) {
        return number == 0 || useIncarnation(ownerIncarnation) && mGrants.add(number);
    }

    /** Closes the grants up to a number: those that have not arrived will not be used. */
    void close(long ownerIncarnation, long number) {
        if (useIncarnation(ownerIncarnation)) {
            mGrants.addAllUpTo(number);
        }
    }

    /** Returns false for an earlier incarnation; a later one starts at number 1 again. */
    private boolean useIncarnation(long ownerIncarnation) {
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

    /** Returns the number up to which every grant has arrived or is closed. */
    long grantsSeen() {
        return mGrants.complete();
    }

    long ownerIncarnation() {
        return mOwnerIncarnation;
    }
}
