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
 * The leader's part of the protocol during one term: replication, commit and read barriers.
 *
 * <p>Not thread-safe. Invariants: an entry is committed only if it is of this term, or precedes one
 * that is, and a majority of the member set has synced it; acknowledgements of identities outside
 * the member set never count.
 */
final class Leadership {
    // Keeps a message well below the frame limit of a link.
    private static final int MAX_APPEND_BYTES = 512 << 10;

    private final MemberId mSelf;
    private final long mTerm;
    private final RaftLog mLog;
    private final WriteBuffer mWrites;
    private final Consumer<Message> mSend;
    private final Map<MemberId, Progress> mPeers = new HashMap<>();
    private final Set<MemberId> mLearners = new HashSet<>();
    private final List<Read> mReads = new ArrayList<>();
    private long mFirstIndex;
    private long mCommit;
    private long mRound;
    private long mHeartbeatNanos;

    private record Read(long id, long round, long index) {}

    /** A message without its envelope: a {@code RaftAppend} or a {@code RaftSnapshot}. */
    record Message(MemberId to, com.google.protobuf.Message payload) {}

    Leadership(
            MemberId self,
            long term,
            RaftLog log,
            WriteBuffer writes,
            long commit,
            Consumer<Message> send) {
        mSelf = self;
        mTerm = term;
        mLog = log;
        mWrites = writes;
        mCommit = commit;
        mSend = send;
    }

    /** Appends the first entry of the term, which makes earlier entries committable. */
    void start(LogEntry.Builder first, long nowNanos) {
        mFirstIndex = append(first, nowNanos);
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
        return mCommit >= mFirstIndex;
    }

    long commit() {
        return mCommit;
    }

    Set<MemberId> learners() {
        return mLearners;
    }

    /** Returns a member's or learner's progress, or null. */
    Progress progress(MemberId member) {
        return mPeers.get(member);
    }

    void addLearner(MemberId learner, long nowNanos) {
        if (mLearners.add(learner)) {
            mPeers.put(learner, new Progress(mLog.lastIndex() + 1, nowNanos));
        }
        mPeers.get(learner).heard(0, nowNanos);
    }

    /** Forgets learners that were not heard from for an election timeout. */
    void dropSilentLearners(long nowNanos) {
        if (mLearners.removeIf(m -> !mPeers.get(m).wasHeard(nowNanos))) {
            updatePeers(nowNanos);
        }
    }

    /** Returns whether a majority of {@code members} was heard from within an election timeout. */
    boolean isMajorityAlive(List<MemberId> members, long nowNanos) {
        long alive =
                members.stream()
                        .filter(
                                m ->
                                        m.equals(mSelf)
                                                || (mPeers.containsKey(m)
                                                        && mPeers.get(m).wasHeard(nowNanos)))
                        .count();
        return alive > members.size() / 2;
    }

    void heartbeatIfDue(long nowNanos) {
        if (nowNanos - mHeartbeatNanos >= RaftTimings.HEARTBEAT) {
            sendToAll(nowNanos);
        }
    }

    /** Starts a read barrier, which a round of acknowledgements confirms. */
    void confirm(long id, long nowNanos) {
        mRound++;
        mReads.add(new Read(id, mRound, Math.max(mCommit, mFirstIndex)));
        sendToAll(nowNanos);
    }

    /** Removes and returns the reads whose round a majority acknowledged. */
    ImmutableList<RaftEffects.ConfirmedRead> takeConfirmed() {
        ImmutableList.Builder<RaftEffects.ConfirmedRead> result = ImmutableList.builder();
        mReads.removeIf(
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

    void acknowledged(RaftAppendReply reply, long nowNanos) {
        Progress p = mPeers.get(reply.getMember());
        if (p == null) {
            return;
        }
        p.heard(reply.getRound(), nowNanos);
        if (!reply.getSuccess()) {
            // Otherwise the next heartbeat repeats it; an answer at once would make an endless
            // loop.
            if (p.rejected(reply.getMatchIndex())) {
                sendTo(reply.getMember(), p, false, nowNanos);
            }
            return;
        }
        p.matched(reply.getMatchIndex());
        if (!advanceCommit(nowNanos) && p.next() <= mLog.lastIndex() && p.maySendEntries()) {
            sendTo(reply.getMember(), p, false, nowNanos);
        }
    }

    void acknowledged(RaftSnapshotReply reply, long nowNanos) {
        Progress p = mPeers.get(reply.getMember());
        if (p != null) {
            p.heard(0, nowNanos);
            p.matched(Math.min(reply.getLastIndex(), mLog.lastIndex()));
            sendTo(reply.getMember(), p, false, nowNanos);
        }
    }

    /** Commits what a majority has synced; returns whether the commit index grew. */
    boolean advanceCommit(long nowNanos) {
        long old = mCommit;
        long i = mLog.lastIndex();
        while (i > mCommit && mLog.termAt(i) == mTerm && !isSyncedByMajority(i)) {
            i--;
        }
        if (i > mCommit && mLog.termAt(i) == mTerm) {
            mCommit = i;
            // Followers serve committed state, so they hear of the commit at once.
            sendToAll(nowNanos);
        }
        return mCommit > old;
    }

    private boolean isSyncedByMajority(long index) {
        return isMajority(mWrites.durableIndex() >= index, p -> p.match() >= index);
    }

    /** Returns whether a majority satisfies {@code test}, this member counting as given. */
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

    /** Returns whether messages to the identity would arrive at a learner on the same VM. */
    private boolean isReplacedByLearner(MemberId m) {
        return !mLearners.contains(m)
                && mLearners.stream().anyMatch(l -> l.getVmId().equals(m.getVmId()));
    }

    private void sendTo(MemberId to, Progress p, boolean heartbeat, long nowNanos) {
        boolean needsSnapshot = p.next() <= mLog.snapshotIndex();
        if (needsSnapshot && p.startSnapshot(mLog.snapshotIndex(), nowNanos)) {
            mSend.accept(
                    new Message(
                            to,
                            mLog.snapshot().toBuilder().setTerm(mTerm).setLeader(mSelf).build()));
        }
        if (needsSnapshot && !heartbeat) {
            return;
        }
        // While a snapshot is under way, appends without entries keep the peer from campaigning.
        long previous = needsSnapshot ? mLog.snapshotIndex() : p.next() - 1;
        RaftAppend.Builder append =
                RaftAppend.newBuilder()
                        .setTerm(mTerm)
                        .setLeader(mSelf)
                        .setPreviousIndex(previous)
                        .setPreviousTerm(mLog.termAt(previous))
                        .setCommitIndex(mCommit)
                        .setRound(mRound);
        if (!needsSnapshot && p.maySendEntries()) {
            append.addAllEntries(mLog.slice(p.next(), mLog.lastIndex(), MAX_APPEND_BYTES));
            p.sentUpTo(previous + append.getEntriesCount());
        }
        mSend.accept(new Message(to, append.build()));
    }
}
