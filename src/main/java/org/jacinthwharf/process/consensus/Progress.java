package org.jacinthwharf.process.consensus;

/**
 * Replication progress of another member or of a learner, as the leader tracks it.
 *
 * <p>Not thread-safe. Invariant: {@code mMatchIndex < mNextIndex}; the peer's log equals the
 * leader's and is synced up to {@code mMatchIndex}.
 */
final class Progress {
    /** Maximum number of entries sent and not yet acknowledged. */
    private static final long MAX_IN_FLIGHT_ENTRIES = 2_000;

    private long mMatchIndex;
    private long mNextIndex;
    private long mLastReceivedNanos;
    private boolean mRefusedSinceContact;
    private long mAckedRound;
    private long mSnapshotSentNanos;
    private long mSnapshotSentIndex;

    Progress(long nextIndex, long lastReceivedNanos) {
        mNextIndex = nextIndex;
        mLastReceivedNanos = lastReceivedNanos;
    }

    long matchIndex() {
        return mMatchIndex;
    }

    long nextIndex() {
        return mNextIndex;
    }

    long ackedRound() {
        return mAckedRound;
    }

    boolean isReachable(long nowNanos) {
        return nowNanos - mLastReceivedNanos < RaftTimings.ELECTION_TIMEOUT_NANOS;
    }

    /** Returns the time since the last message from the peer. */
    long nanosSinceContact(long nowNanos) {
        return nowNanos - mLastReceivedNanos;
    }

    /**
     * Returns whether the peer counts as lost: it has been silent for long, or its VM refuses
     * connections, so that its process has ended.
     */
    boolean isLost(long nowNanos) {
        return nanosSinceContact(nowNanos)
                > (mRefusedSinceContact
                        ? RaftTimings.REFUSED_REMOVAL_TIMEOUT_NANOS
                        : RaftTimings.REMOVAL_TIMEOUT_NANOS);
    }

    /** Records that the peer's VM refused a connection. */
    void recordRefusal() {
        mRefusedSinceContact = true;
    }

    boolean maySendEntries() {
        return mNextIndex - mMatchIndex <= MAX_IN_FLIGHT_ENTRIES;
    }

    /**
     * Returns whether to send the snapshot at {@code index} now, and if so records that it is sent.
     */
    boolean startSnapshot(long index, long nowNanos) {
        if (mSnapshotSentIndex == index
                && nowNanos - mSnapshotSentNanos < RaftTimings.SNAPSHOT_RESEND_NANOS) {
            return false;
        }
        mSnapshotSentIndex = index;
        mSnapshotSentNanos = nowNanos;
        return true;
    }

    void recordSent(long index) {
        mNextIndex = Math.max(mNextIndex, index + 1);
    }

    void recordContact(long round, long nowNanos) {
        mLastReceivedNanos = nowNanos;
        mRefusedSinceContact = false;
        mAckedRound = Math.max(mAckedRound, round);
    }

    void recordMatch(long index) {
        mMatchIndex = Math.max(mMatchIndex, index);
        mNextIndex = Math.max(mNextIndex, mMatchIndex + 1);
    }

    /**
     * Moves the next index back to the entry after {@code hint}, but not to an acknowledged entry.
     *
     * @return whether the index moved. If not, the peer may have lost acknowledged entries and
     *     would reject the same append again.
     */
    boolean backtrack(long hint) {
        long before = mNextIndex;
        mNextIndex = Math.max(mMatchIndex + 1, Math.min(mNextIndex, hint + 1));
        return mNextIndex < before;
    }
}
