package org.jacinthwharf.process.consensus;

/**
 * What a leader knows of another member or of a learner.
 *
 * <p>Not thread-safe. Invariant: {@code mMatch < mNext}; the peer's log equals the leader's up to
 * {@code mMatch}, and is synced there.
 */
final class Progress {
    /** Entries sent beyond the acknowledged ones; more wait for acknowledgements. */
    private static final long MAX_UNACKNOWLEDGED = 2_000;

    private long mMatch;
    private long mNext;
    private long mLastReceivedNanos;
    private long mAckedRound;
    private long mSnapshotSentNanos;
    private long mSnapshotSentIndex;

    Progress(long next, long lastReceivedNanos) {
        mNext = next;
        mLastReceivedNanos = lastReceivedNanos;
    }

    long match() {
        return mMatch;
    }

    long next() {
        return mNext;
    }

    long ackedRound() {
        return mAckedRound;
    }

    boolean wasHeard(long nowNanos) {
        return nowNanos - mLastReceivedNanos < RaftTimings.ELECTION_TIMEOUT;
    }

    /** Returns the time since the peer was heard from. */
    long silentNanos(long nowNanos) {
        return nowNanos - mLastReceivedNanos;
    }

    boolean maySendEntries() {
        return mNext - mMatch <= MAX_UNACKNOWLEDGED;
    }

    /** Returns whether the snapshot at {@code index} should be sent now, and notes that it is. */
    boolean startSnapshot(long index, long nowNanos) {
        if (mSnapshotSentIndex == index
                && nowNanos - mSnapshotSentNanos < RaftTimings.SNAPSHOT_RESEND) {
            return false;
        }
        mSnapshotSentIndex = index;
        mSnapshotSentNanos = nowNanos;
        return true;
    }

    void sentUpTo(long index) {
        mNext = Math.max(mNext, index + 1);
    }

    void heard(long round, long nowNanos) {
        mLastReceivedNanos = nowNanos;
        mAckedRound = Math.max(mAckedRound, round);
    }

    void matched(long index) {
        mMatch = Math.max(mMatch, index);
        mNext = Math.max(mNext, mMatch + 1);
    }

    /**
     * Moves back to the entry after {@code hint}, but never before an acknowledged one.
     *
     * @return whether it moved. If not, the peer may have lost what it acknowledged; the same
     *     append would be rejected again.
     */
    boolean rejected(long hint) {
        long before = mNext;
        mNext = Math.max(mMatch + 1, Math.min(mNext, hint + 1));
        return mNext < before;
    }
}
