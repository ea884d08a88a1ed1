package org.jacinthwharf.process.consensus;

import static com.google.common.base.Preconditions.checkState;

import org.jacinthwharf.wire.generated.LogEntry;
import org.jacinthwharf.wire.generated.RaftAppend;
import org.jacinthwharf.wire.generated.RaftSnapshot;

/**
 * Takes a leader's entries and snapshots into the log of a follower.
 *
 * <p>Not thread-safe. Invariants: the log equals the present leader's up to {@link #durableMatch};
 * a committed entry is never replaced.
 */
final class LeaderEntries {
    private final RaftLog mLog;
    private final WriteBuffer mWrites;
    private long mMatched;

    LeaderEntries(RaftLog log, WriteBuffer writes) {
        mLog = log;
        mWrites = writes;
    }

    /** Forgets what matched the previous leader. */
    void leaderChanged() {
        mMatched = 0;
    }

    /** Returns the last index that is synced and known to match the leader's log. */
    long durableMatch() {
        return Math.min(mMatched, mWrites.durableIndex());
    }

    /** Takes the entries; returns false if the entry before them does not match. */
    boolean append(RaftAppend a, long commit) {
        long previous = a.getPreviousIndex();
        if (previous >= mLog.snapshotIndex() && !mLog.matches(previous, a.getPreviousTerm())) {
            return false;
        }
        a.getEntriesList().forEach(e -> append(e, commit));
        mMatched = Math.max(mMatched, lastOf(a));
        return true;
    }

    /** Takes the snapshot in place of the log that it covers. */
    void install(RaftSnapshot s, long commit) {
        if (!mLog.matches(s.getLastIndex(), s.getLastTerm())) {
            mWrites.truncated(commit + 1);
        }
        mLog.install(s);
        mWrites.snapshotTaken(mLog.snapshot());
    }

    void matched(long index) {
        mMatched = Math.max(mMatched, index);
    }

    /** Returns the index that the append covers up to. */
    static long lastOf(RaftAppend a) {
        return a.getPreviousIndex() + a.getEntriesCount();
    }

    private void append(LogEntry e, long commit) {
        if (e.getIndex() <= mLog.snapshotIndex() || mLog.matches(e.getIndex(), e.getTerm())) {
            return;
        }
        if (e.getIndex() <= mLog.lastIndex()) {
            checkState(e.getIndex() > commit, "committed entry %s would change", e.getIndex());
            mLog.truncateFrom(e.getIndex());
            mWrites.truncated(e.getIndex());
        }
        mLog.append(e);
    }
}
