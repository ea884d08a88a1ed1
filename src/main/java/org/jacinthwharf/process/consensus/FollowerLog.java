package org.jacinthwharf.process.consensus;

import static com.google.common.base.Preconditions.checkState;

import org.jacinthwharf.wire.generated.LogEntry;
import org.jacinthwharf.wire.generated.RaftAppend;
import org.jacinthwharf.wire.generated.RaftSnapshot;

/**
 * Applies a leader's entries and snapshots to the log of a follower.
 *
 * <p>Not thread-safe. Invariants: the log equals the current leader's up to {@link
 * #durableMatchIndex}; a committed entry is never replaced.
 */
final class FollowerLog {
    private final RaftLog mLog;
    private final WriteBuffer mWrites;
    private long mMatchIndex;

    FollowerLog(RaftLog log, WriteBuffer writes) {
        mLog = log;
        mWrites = writes;
    }

    /** Resets the match index after a change of the leader. */
    void resetMatch() {
        mMatchIndex = 0;
    }

    /** Returns the last index that is synced and known to match the leader's log. */
    long durableMatchIndex() {
        return Math.min(mMatchIndex, mWrites.durableIndex());
    }

    /** Appends the entries; returns false if the entry before them does not match. */
    boolean append(RaftAppend a, long commit) {
        long previous = a.getPreviousIndex();
        if (previous >= mLog.snapshotIndex() && !mLog.matches(previous, a.getPreviousTerm())) {
            return false;
        }
        a.getEntriesList().forEach(e -> append(e, commit));
        mMatchIndex = Math.max(mMatchIndex, lastCoveredIndex(a));
        return true;
    }

    /** Installs a snapshot; discards the whole log unless it holds the snapshot's last entry. */
    void install(RaftSnapshot s, long commit) {
        if (!mLog.matches(s.getLastIndex(), s.getLastTerm())) {
            mWrites.logTruncated(commit + 1);
        }
        mLog.install(s);
        mWrites.snapshotReplaced(mLog.snapshot());
    }

    void recordMatch(long index) {
        mMatchIndex = Math.max(mMatchIndex, index);
    }

    /** Returns the last index that the append covers. */
    static long lastCoveredIndex(RaftAppend a) {
        return a.getPreviousIndex() + a.getEntriesCount();
    }

    private void append(LogEntry e, long commit) {
        if (e.getIndex() <= mLog.snapshotIndex() || mLog.matches(e.getIndex(), e.getTerm())) {
            return;
        }
        if (e.getIndex() <= mLog.lastIndex()) {
            checkState(
                    e.getIndex() > commit, "append would replace committed entry %s", e.getIndex());
            mLog.truncateFrom(e.getIndex());
            mWrites.logTruncated(e.getIndex());
        }
        mLog.append(e);
    }
}
