package org.jacinthwharf.process.consensus;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.jacinthwharf.wire.generated.LogEntry;
import org.jacinthwharf.wire.generated.MemberId;
import org.jacinthwharf.wire.generated.MemberSet;
import org.jacinthwharf.wire.generated.RaftSnapshot;

/**
 * The in-memory log: the latest snapshot and all entries after it.
 *
 * <p>Not thread-safe. Invariants: indexes of entries are consecutive and start after the snapshot;
 * {@link #members} is the last member set in the log, committed or not.
 */
final class RaftLog {
    private final List<LogEntry> mEntries = new ArrayList<>();
    private RaftSnapshot mSnapshot;
    private ImmutableList<MemberId> mMembers = ImmutableList.of();
    private long mMembersIndex;

    RaftLog(RaftSnapshot snapshot, List<LogEntry> entries) {
        mSnapshot = snapshot;
        findMembers();
        entries.forEach(this::append);
    }

    RaftSnapshot snapshot() {
        return mSnapshot;
    }

    long snapshotIndex() {
        return mSnapshot.getLastIndex();
    }

    long lastIndex() {
        return snapshotIndex() + mEntries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    /** Returns whether nothing was ever appended, as on a member that has not joined a group. */
    boolean isEmpty() {
        return lastIndex() == 0;
    }

    ImmutableList<MemberId> members() {
        return mMembers;
    }

    /**
     * Returns the index of the entry that set {@link #members}, or the snapshot's index if no entry
     * after the snapshot did.
     */
    long membersIndex() {
        return mMembersIndex;
    }

    /** Returns whether {@code count} of the members are a majority. */
    boolean isMajority(int count) {
        return count > mMembers.size() / 2;
    }

    /** Returns whether this log holds an entry at {@code index} with the given term. */
    boolean matches(long index, long term) {
        return index >= snapshotIndex() && index <= lastIndex() && termAt(index) == term;
    }

    /** Returns the term of the snapshot's last entry or of an entry after it. */
    long termAt(long index) {
        return index == snapshotIndex() ? mSnapshot.getLastTerm() : entry(index).getTerm();
    }

    LogEntry entry(long index) {
        checkArgument(
                index > snapshotIndex() && index <= lastIndex(),
                "entry %s is not in (%s, %s]",
                index,
                snapshotIndex(),
                lastIndex());
        return mEntries.get((int) (index - snapshotIndex() - 1));
    }

    /**
     * Returns the entries from {@code from} to {@code to}, both inclusive, limited to {@code
     * maxBytes}; the first entry is returned whatever its size. Empty if {@code from > to}.
     */
    ImmutableList<LogEntry> slice(long from, long to, int maxBytes) {
        ImmutableList.Builder<LogEntry> result = ImmutableList.builder();
        long bytes = 0;
        for (long i = from; i <= to; i++) {
            LogEntry e = entry(i);
            bytes += e.getSerializedSize();
            if (i > from && bytes > maxBytes) {
                break;
            }
            result.add(e);
        }
        return result.build();
    }

    void append(LogEntry e) {
        checkArgument(
                e.getIndex() == lastIndex() + 1,
                "entry %s does not follow %s",
                e.getIndex(),
                lastIndex());
        mEntries.add(e);
        if (e.hasMembers()) {
            mMembers = ImmutableList.copyOf(e.getMembers().getMembersList());
            mMembersIndex = e.getIndex();
        }
    }

    /** Removes the entry at {@code index} and all after it. */
    void truncateFrom(long index) {
        checkState(index > snapshotIndex(), "entry %s is in the snapshot", index);
        mEntries.subList((int) (index - snapshotIndex() - 1), mEntries.size()).clear();
        findMembers();
    }

    /** Replaces the entries up to {@code index} by a snapshot of the given state. */
    RaftSnapshot compact(long index, ByteString data) {
        RaftSnapshot s =
                RaftSnapshot.newBuilder()
                        .setLastIndex(index)
                        .setLastTerm(termAt(index))
                        .setMembers(MemberSet.newBuilder().addAllMembers(membersAt(index)))
                        .setData(data)
                        .build();
        install(s);
        return s;
    }

    /** Installs a snapshot; keeps the entries after it only if the log holds its last entry. */
    void install(RaftSnapshot s) {
        if (matches(s.getLastIndex(), s.getLastTerm())) {
            mEntries.subList(0, (int) (s.getLastIndex() - snapshotIndex())).clear();
        } else {
            mEntries.clear();
        }
        mSnapshot = s.toBuilder().clearLeader().clearTerm().build();
        findMembers();
    }

    private List<MemberId> membersAt(long index) {
        for (long i = index; i > snapshotIndex(); i--) {
            if (entry(i).hasMembers()) {
                return entry(i).getMembers().getMembersList();
            }
        }
        return mSnapshot.getMembers().getMembersList();
    }

    private void findMembers() {
        mMembers = ImmutableList.copyOf(membersAt(lastIndex()));
        mMembersIndex = snapshotIndex();
        for (long i = lastIndex(); i > snapshotIndex(); i--) {
            if (entry(i).hasMembers()) {
                mMembersIndex = i;
                break;
            }
        }
    }
}
