package org.jacinthwharf.process.consensus;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jacinthwharf.wire.generated.LogEntry;
import org.jacinthwharf.wire.generated.MemberId;
import org.jacinthwharf.wire.generated.RaftAppend;
import org.jacinthwharf.wire.generated.RaftAppendReply;
import org.jacinthwharf.wire.generated.RaftSnapshotReply;

/**
 * The leader's state during one term: replication, commit index and read barriers.
 *
 * <p>Not thread-safe. Invariants: an entry is committed only if it is of this term, or precedes one
 * that is, and a majority of the member set has synced it; acknowledgements from identities outside
 * the member set never count.
 */
final class Leadership {
    // Well below the frame limit of a link.
    private static final int MAX_APPEND_BYTES = 512 << 10;

    private final MemberId mSelf;
    private final long mTerm;
    private final RaftLog mLog;
    private final WriteBuffer mWrites;
    private final Consumer<Message> mSend;
    private final Map<MemberId, Progress> mPeers = new HashMap<>();
    private final Set<MemberId> mLearners = new HashSet<>();
    private final List<ReadBarrier> mReadBarriers = new ArrayList<>();
    private long mTermStartIndex;
    private long mCommitIndex;
    private long mRound;
    private long mHeartbeatNanos;

    private record ReadBarrier(long id, long round, long index) {}

    /** A message without its envelope: a {@code RaftAppend} or a {@code RaftSnapshot}. */
    record Message(MemberId to, com.google.protobuf.Message payload) {}

    Leadership(
            MemberId self,
            long term,
            RaftLog log,
            WriteBuffer writes,
            long commitIndex,
            Consumer<Message> send) {
        mSelf = self;
        mTerm = term;
        mLog = log;
        mWrites = writes;
        mCommitIndex = commitIndex;
        mSend = send;
    }

    /** Appends the first entry of the term, which allows earlier entries to commit. */
    void start(LogEntry.Builder first, long nowNanos) {
        mTermStartIndex = append(first, nowNanos);
    }

    /** Appends an entry, sends it, and returns its index. */
    long append(LogEntry.Builder entry, long nowNanos) {
        LogEntry e = entry.setIndex(mLog.lastIndex() + 1).setTerm(mTerm).build();
        mLog.append(e);
        if (e.hasMembers()) {
            updatePeers(nowNanos);
        }
        sendToAll(nowNanos);
        return e.getIndex();
    }

    /** Returns whether this leader committed an entry of its own term. */
    boolean hasCommitted() {
        return mCommitIndex >= mTermStartIndex;
    }

    long commitIndex() {
        return mCommitIndex;
    }

    Set<MemberId> learners() {
        return mLearners;
    }

    /** Returns the progress of a member or learner, or null. */
    Progress progress(MemberId member) {
        return mPeers.get(member);
    }

    /** Records that a VM refused a connection. */
    void recordRefusal(String vm) {
        mPeers.forEach(
                (m, p) -> {
                    if (m.getVmId().equals(vm)) {
                        p.recordRefusal();
                    }
                });
    }

    /** Returns the members but this one that have synced the whole log and are reachable. */
    List<MemberId> upToDateMembers(long nowNanos) {
        return mLog.members().stream()
                .filter(m -> mPeers.containsKey(m) && mPeers.get(m).isReachable(nowNanos))
                .filter(m -> mPeers.get(m).matchIndex() == mLog.lastIndex())
                .toList();
    }

    void addLearner(MemberId learner, long nowNanos) {
        if (mLearners.add(learner)) {
            mPeers.put(learner, new Progress(mLog.lastIndex() + 1, nowNanos));
        }
        mPeers.get(learner).recordContact(0, nowNanos);
    }

    /** Removes learners without contact for an election timeout. */
    void removeUnreachableLearners(long nowNanos) {
        if (mLearners.removeIf(m -> !mPeers.get(m).isReachable(nowNanos))) {
            updatePeers(nowNanos);
        }
    }

    /** Returns whether a majority of {@code members} was in contact within an election timeout. */
    boolean isMajorityReachable(List<MemberId> members, long nowNanos) {
        long reachable =
                members.stream()
                        .filter(
                                m ->
                                        m.equals(mSelf)
                                                || (mPeers.containsKey(m)
                                                        && mPeers.get(m).isReachable(nowNanos)))
                        .count();
        return reachable > members.size() / 2;
    }

    void sendHeartbeatIfDue(long nowNanos) {
        if (nowNanos - mHeartbeatNanos >= RaftTimings.HEARTBEAT_INTERVAL_NANOS) {
            sendToAll(nowNanos);
        }
    }

    /** Starts a read barrier; a round of acknowledgements confirms it. */
    void startReadBarrier(long id, long nowNanos) {
        mRound++;
        mReadBarriers.add(new ReadBarrier(id, mRound, Math.max(mCommitIndex, mTermStartIndex)));
        sendToAll(nowNanos);
    }

    /** Removes and returns the read barriers whose round a majority acknowledged. */
    ImmutableList<RaftEffects.ConfirmedRead> takeConfirmedReads() {
        ImmutableList.Builder<RaftEffects.ConfirmedRead> result = ImmutableList.builder();
        mReadBarriers.removeIf(
                r -> {
                    boolean confirmed =
                            hasCommitted() && isMajority(true, p -> p.ackedRound() >= r.round());
                    if (confirmed) {
                        result.add(new RaftEffects.ConfirmedRead(r.id(), r.index()));
                    }
                    return confirmed;
                });
        return result.build();
    }

    void onAppendReply(RaftAppendReply reply, long nowNanos) {
        Progress p = mPeers.get(reply.getMember());
        if (p == null) {
            return;
        }
        p.recordContact(reply.getRound(), nowNanos);
        if (!reply.getSuccess()) {
            // Without progress, the next heartbeat retries; an immediate retry would loop
            // endlessly.
            if (p.backtrack(reply.getMatchIndex())) {
                sendTo(reply.getMember(), p, false, nowNanos);
            }
            return;
        }
        p.recordMatch(reply.getMatchIndex());
        if (!advanceCommit(nowNanos) && p.nextIndex() <= mLog.lastIndex() && p.maySendEntries()) {
            sendTo(reply.getMember(), p, false, nowNanos);
        }
    }

    void onSnapshotReply(RaftSnapshotReply reply, long nowNanos) {
        Progress p = mPeers.get(reply.getMember());
        if (p != null) {
            p.recordContact(0, nowNanos);
            p.recordMatch(Math.min(reply.getLastIndex(), mLog.lastIndex()));
            sendTo(reply.getMember(), p, false, nowNanos);
        }
    }

    /** Commits entries that a majority has synced; returns whether the commit index increased. */
    boolean advanceCommit(long nowNanos) {
        long before = mCommitIndex;
        long i = mLog.lastIndex();
        while (i > mCommitIndex && mLog.termAt(i) == mTerm && !isSyncedByMajority(i)) {
            i--;
        }
        if (i > mCommitIndex && mLog.termAt(i) == mTerm) {
            mCommitIndex = i;
            // Followers serve committed state, so they are notified of the commit at once.
            sendToAll(nowNanos);
        }
        return mCommitIndex > before;
    }

    private boolean isSyncedByMajority(long index) {
        return isMajority(mWrites.durableIndex() >= index, p -> p.matchIndex() >= index);
    }

    /** Returns whether a majority satisfies {@code test}, or {@code self} for this member. */
    private boolean isMajority(boolean self, Predicate<Progress> test) {
        long count =
                mLog.members().stream()
                        .filter(
                                m ->
                                        m.equals(mSelf)
                                                ? self
                                                : mPeers.containsKey(m) && test.test(mPeers.get(m)))
                        .count();
        return mLog.isMajority((int) count);
    }

    private boolean isMember(MemberId m) {
        return mLog.members().contains(m);
    }

    private void updatePeers(long nowNanos) {
        mLearners.removeIf(this::isMember);
        mPeers.keySet().removeIf(m -> !isMember(m) && !mLearners.contains(m));
        for (MemberId m : mLog.members()) {
            if (!m.equals(mSelf)) {
                mPeers.computeIfAbsent(m, k -> new Progress(mLog.lastIndex(), nowNanos));
            }
        }
    }

    void sendToAll(long nowNanos) {
        if (mPeers.isEmpty()) {
            updatePeers(nowNanos);
        }
        mHeartbeatNanos = nowNanos;
        mPeers.forEach(
                (to, p) -> {
                    if (!isReplacedByLearner(to)) {
                        sendTo(to, p, true, nowNanos);
                    }
                });
    }

    /** Returns whether messages to the identity would reach a learner on the same VM instead. */
    private boolean isReplacedByLearner(MemberId m) {
        return !mLearners.contains(m)
                && mLearners.stream().anyMatch(l -> l.getVmId().equals(m.getVmId()));
    }

    private void sendTo(MemberId to, Progress p, boolean heartbeat, long nowNanos) {
        boolean needsSnapshot = p.nextIndex() <= mLog.snapshotIndex();
        if (needsSnapshot && p.startSnapshot(mLog.snapshotIndex(), nowNanos)) {
            mSend.accept(
                    new Message(
                            to,
                            mLog.snapshot().toBuilder().setTerm(mTerm).setLeader(mSelf).build()));
        }
        if (needsSnapshot && !heartbeat) {
            return;
        }
        // While a snapshot is in flight, appends without entries keep the peer from campaigning.
        long previous = needsSnapshot ? mLog.snapshotIndex() : p.nextIndex() - 1;
        RaftAppend.Builder append =
                RaftAppend.newBuilder()
                        .setTerm(mTerm)
                        .setLeader(mSelf)
                        .setPreviousIndex(previous)
                        .setPreviousTerm(mLog.termAt(previous))
                        .setCommitIndex(mCommitIndex)
                        .setRound(mRound);
        if (!needsSnapshot && p.maySendEntries()) {
            append.addAllEntries(mLog.slice(p.nextIndex(), mLog.lastIndex(), MAX_APPEND_BYTES));
            p.recordSent(previous + append.getEntriesCount());
        }
        mSend.accept(new Message(to, append.build()));
    }
}
