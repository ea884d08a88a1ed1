package org.jacinthwharf.process.consensus;

import static com.google.common.base.Preconditions.checkState;

import com.google.protobuf.ByteString;
import com.google.protobuf.Message;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.LogEntry;
import org.jacinthwharf.wire.generated.MemberId;
import org.jacinthwharf.wire.generated.RaftAppend;
import org.jacinthwharf.wire.generated.RaftAppendReply;
import org.jacinthwharf.wire.generated.RaftJoin;
import org.jacinthwharf.wire.generated.RaftSnapshot;
import org.jacinthwharf.wire.generated.RaftSnapshotReply;
import org.jacinthwharf.wire.generated.RaftVoteReply;
import org.jacinthwharf.wire.generated.RaftVoteRequest;

/**
 * Decides as one member of a Raft group: takes events with the current time, collects effects.
 *
 * <p>Not thread-safe; does no I/O and reads no clock. Invariants: one leader for each term; the
 * term never falls; the commit index never falls; nothing is promised to another member before the
 * promise is synced.
 *
 * <p>How the first group is founded, and why never a second one, is stated at {@link Promises}.
 */
final class RaftCore {
    private final RaftSettings mSettings;
    private final MemberId mSelf;
    private final RandomGenerator mRandom;
    private final RaftLog mLog;
    private final WriteBuffer mWrites;
    private final MembershipChanges mChanges;
    private final Outbox mOut = new Outbox();
    private final Promises mPromises;
    private final LeaderEntries mEntries;
    private LogStatus.Role mRole = LogStatus.Role.FOLLOWER;
    private Optional<MemberId> mLeader = Optional.empty();
    private Optional<Long> mLeaderHeardNanos = Optional.empty();
    private Optional<Election> mElection = Optional.empty();
    private Optional<Leadership> mLeadership = Optional.empty();
    private long mDeadlineNanos;
    private long mJoinNanos;
    private long mCommit;
    private long mRound;

    RaftCore(
            RaftSettings settings,
            MemberId self,
            StoredTerm stored,
            RaftLog log,
            RandomGenerator random,
            long nowNanos) {
        mSettings = settings;
        mSelf = self;
        mLog = log;
        mRandom = random;
        mWrites = new WriteBuffer(log);
        mPromises = new Promises(settings, log, mWrites, stored);
        mEntries = new LeaderEntries(log, mWrites);
        mChanges = new MembershipChanges(settings, log);
        mCommit = log.snapshotIndex();
        mDeadlineNanos = nowNanos + RaftTimings.firstWait(random);
        mJoinNanos = nowNanos;
    }

    long term() {
        return mPromises.term();
    }

    boolean isLeader() {
        return mRole == LogStatus.Role.LEADER;
    }

    Optional<MemberId> leader() {
        return isLeader() ? Optional.of(mSelf) : mLeader;
    }

    RaftLog log() {
        return mLog;
    }

    LogStatus status(long appliedIndex) {
        LogStatus.Role role =
                mRole == LogStatus.Role.FOLLOWER && !isMember() ? LogStatus.Role.LEARNER : mRole;
        return new LogStatus(
                role,
                term(),
                leader().flatMap(m -> VmId.parse(m.getVmId())),
                mCommit,
                appliedIndex,
                mLog.members());
    }

    RaftEffects takeEffects() {
        return mOut.take(mWrites, mPromises.stored());
    }

    /** Lets time pass; called several times in a heartbeat interval. */
    void tick(long nowNanos) {
        if (mLeadership.isPresent()) {
            tickAsLeader(mLeadership.get(), nowNanos);
        } else if (nowNanos >= mDeadlineNanos && (isMember() || mayFound())) {
            campaign(true, nowNanos);
        }
        if (!isLeader() && !isMember() && nowNanos >= mJoinNanos) {
            mJoinNanos = nowNanos + RaftTimings.JOIN_INTERVAL;
            RaftJoin join = RaftJoin.newBuilder().setMember(mSelf).build();
            mSettings
                    .peerVms(mLog.members())
                    .forEach(vm -> mOut.send(RaftMessages.anyOn(vm), join));
        }
    }

    /** Appends a command and returns its index, or nothing if this member does not lead. */
    OptionalLong propose(ByteString command, long nowNanos) {
        stepDownIfCutOff(nowNanos);
        if (mLeadership.isEmpty()) {
            return OptionalLong.empty();
        }
        LogEntry.Builder entry = LogEntry.newBuilder().setCommand(command);
        return OptionalLong.of(mLeadership.get().append(entry, nowNanos));
    }

    /** Starts the read barrier {@code id}; returns false if this member does not lead. */
    boolean confirm(long id, long nowNanos) {
        stepDownIfCutOff(nowNanos);
        if (mLeadership.isEmpty()) {
            return false;
        }
        mLeadership.get().confirm(id, nowNanos);
        takeConfirmed();
        return true;
    }

    /** Takes the end of the write that the last effects asked for. */
    void storageDone(long nowNanos) {
        mOut.sendAll(mWrites.batchDone());
        if (mLeadership.isPresent()) {
            afterLeaderEvent(nowNanos);
        } else if (mElection.filter(e -> !e.isPreVote()).isPresent()) {
            countOwnVote(nowNanos);
        } else if (mLeader.isPresent() && mEntries.durableMatch() > 0) {
            replyToAppend(mLeader.get(), true, mEntries.durableMatch(), mRound);
        }
    }

    /** Replaces applied entries by a snapshot of the state after {@code appliedIndex}. */
    void compact(long appliedIndex, ByteString state) {
        checkState(appliedIndex <= mCommit, "%s is not committed", appliedIndex);
        mWrites.snapshotTaken(mLog.compact(appliedIndex, state));
    }

    /** Takes a message of another member; messages of other protocols are ignored. */
    void receive(Envelope envelope, long nowNanos) {
        stepDownIfCutOff(nowNanos);
        switch (envelope.getPayloadCase()) {
            case RAFT_VOTE_REQUEST -> onVoteRequest(envelope.getRaftVoteRequest(), nowNanos);
            case RAFT_VOTE_REPLY -> onVoteReply(envelope.getRaftVoteReply(), nowNanos);
            case RAFT_APPEND -> onAppend(envelope.getRaftAppend(), nowNanos);
            case RAFT_APPEND_REPLY -> {
                RaftAppendReply m = envelope.getRaftAppendReply();
                onReply(m.getTerm(), m.getMember(), l -> l.acknowledged(m, nowNanos), nowNanos);
            }
            case RAFT_SNAPSHOT -> onSnapshot(envelope.getRaftSnapshot(), nowNanos);
            case RAFT_SNAPSHOT_REPLY -> {
                RaftSnapshotReply m = envelope.getRaftSnapshotReply();
                onReply(m.getTerm(), m.getMember(), l -> l.acknowledged(m, nowNanos), nowNanos);
            }
            case RAFT_JOIN -> onJoin(envelope.getRaftJoin(), nowNanos);
            default -> {}
        }
    }

    /** Takes a wish to join; a member that does not lead passes it on, once. */
    private void onJoin(RaftJoin join, long nowNanos) {
        if (mLeadership.isPresent()) {
            mChanges.join(mLeadership.get(), join.getMember(), nowNanos);
        } else if (!join.getPassedOn()) {
            mLeader.ifPresent(l -> mOut.send(l, join.toBuilder().setPassedOn(true).build()));
        }
    }

    private void tickAsLeader(Leadership leadership, long nowNanos) {
        stepDownIfCutOff(nowNanos);
        if (!isLeader()) {
            return;
        }
        leadership.dropSilentLearners(nowNanos);
        leadership.heartbeatIfDue(nowNanos);
        mChanges.next(leadership, nowNanos).ifPresent(e -> leadership.append(e, nowNanos));
    }

    private void afterLeaderEvent(long nowNanos) {
        mLeadership.get().advanceCommit(nowNanos);
        commitTo(mLeadership.get().commit());
        takeConfirmed();
    }

    private void takeConfirmed() {
        mOut.confirmed(mLeadership.get().takeConfirmed());
    }

    private void stepDownIfCutOff(long nowNanos) {
        if (mLeadership.isPresent()
                && !mLeadership.get().isMajorityAlive(mLog.members(), nowNanos)) {
            follow(term(), Optional.empty(), nowNanos);
        }
    }

    private boolean isMember() {
        return mLog.members().contains(mSelf);
    }

    private boolean mayFound() {
        return mLog.isEmpty()
                && mSettings.mayFound()
                && mSettings.self().equals(mSettings.founder());
    }

    private void campaign(boolean preVote, long nowNanos) {
        mRole = LogStatus.Role.CANDIDATE;
        mLeader = Optional.empty();
        mDeadlineNanos = nowNanos + RaftTimings.candidateWait(mRandom);
        mElection = Optional.of(new Election(preVote, mLog.isEmpty()));
        if (!preVote) {
            mPromises.startCandidacy(mSelf);
        }
        RaftVoteRequest request =
                RaftMessages.voteRequest(mSelf, preVote ? term() + 1 : term(), mLog, preVote);
        for (String vm : mSettings.peerVms(mLog.members())) {
            sendWhenDurable(RaftMessages.anyOn(vm), request);
        }
        countOwnVote(nowNanos);
    }

    /** Counts this candidate's own vote once it is synced. */
    private void countOwnVote(long nowNanos) {
        if (mWrites.isClean() || mElection.get().isPreVote()) {
            mElection.get().granted(mSelf);
            finishElectionIfWon(nowNanos);
        }
    }

    private void finishElectionIfWon(long nowNanos) {
        Election election = mElection.get();
        if (!election.isWon(mLog, mSettings)) {
            return;
        }
        if (election.isPreVote()) {
            campaign(false, nowNanos);
            return;
        }
        mRole = LogStatus.Role.LEADER;
        mElection = Optional.empty();
        mLeadership =
                Optional.of(
                        new Leadership(
                                mSelf,
                                term(),
                                mLog,
                                mWrites,
                                mCommit,
                                m -> mOut.send(m.to(), m.payload())));
        LogEntry.Builder first =
                election.isFounding()
                        ? MembershipChanges.entry(election.founders(mSettings))
                        : LogEntry.newBuilder();
        mLeadership.get().start(first, nowNanos);
    }

    private void onVoteRequest(RaftVoteRequest r, long nowNanos) {
        boolean leaderAlive =
                mLeaderHeardNanos
                        .filter(t -> nowNanos - t < RaftTimings.ELECTION_TIMEOUT)
                        .isPresent();
        if (isLeader() && !mLog.members().contains(r.getCandidate())) {
            // The candidate was removed while it could not hear of it.
            mChanges.join(mLeadership.get(), r.getCandidate(), nowNanos);
        }
        if (isLeader() || leaderAlive) {
            // A member that was cut off must not disturb a group that has a leader.
            return;
        }
        boolean allowed = mPromises.allows(r);
        RaftVoteReply.Builder reply =
                RaftVoteReply.newBuilder().setVoter(mSelf).setPreVote(r.getPreVote());
        if (r.getPreVote()) {
            boolean granted = allowed && r.getTerm() > term();
            reply.setGranted(granted).setTerm(granted ? r.getTerm() : term());
            mOut.send(r.getCandidate(), reply.build());
            return;
        }
        // A refused founder does not raise the term of a group that exists.
        if (r.getTerm() > term() && (allowed || !Promises.isFounding(r))) {
            follow(r.getTerm(), Optional.empty(), nowNanos);
        }
        boolean granted = mPromises.grant(r);
        if (granted) {
            mDeadlineNanos = nowNanos + RaftTimings.followerWait(mRandom);
        }
        sendWhenDurable(r.getCandidate(), reply.setGranted(granted).setTerm(term()).build());
    }

    private void onVoteReply(RaftVoteReply r, long nowNanos) {
        if (r.getTerm() > term() && !(r.getPreVote() && r.getGranted())) {
            follow(r.getTerm(), Optional.empty(), nowNanos);
            return;
        }
        boolean current =
                mElection
                        .filter(e -> e.isPreVote() == r.getPreVote())
                        .filter(e -> r.getTerm() == term() + (e.isPreVote() ? 1 : 0))
                        .isPresent();
        if (current && r.getGranted()) {
            mElection.get().granted(r.getVoter());
            finishElectionIfWon(nowNanos);
        }
    }

    private void onAppend(RaftAppend a, long nowNanos) {
        if (!acceptLeader(a.getTerm(), a.getLeader(), nowNanos)) {
            replyToAppend(a.getLeader(), false, mCommit, 0);
            return;
        }
        mRound = a.getRound();
        if (!mEntries.append(a, mCommit)) {
            // The committed prefix is known to match, so the leader continues there.
            replyToAppend(a.getLeader(), false, mCommit, mRound);
            return;
        }
        commitTo(Math.min(a.getCommitIndex(), LeaderEntries.lastOf(a)));
        replyToAppend(a.getLeader(), true, mEntries.durableMatch(), mRound);
    }

    private void onSnapshot(RaftSnapshot s, long nowNanos) {
        if (!acceptLeader(s.getTerm(), s.getLeader(), nowNanos)) {
            replyToAppend(s.getLeader(), false, mCommit, 0);
            return;
        }
        if (s.getLastIndex() > mCommit) {
            mEntries.install(s, mCommit);
            mCommit = s.getLastIndex();
            mOut.restore(mLog.snapshot());
        }
        mEntries.matched(s.getLastIndex());
        sendWhenDurable(s.getLeader(), RaftMessages.snapshotReply(mSelf, term(), s.getLastIndex()));
    }

    /** Follows the leader of {@code term}; returns false if the term is over. */
    private boolean acceptLeader(long term, MemberId leader, long nowNanos) {
        if (term < term()) {
            return false;
        }
        checkState(!isLeader() || term > term(), "%s leads term %s of %s", leader, term, mSelf);
        if (term > term() || mElection.isPresent() || !mLeader.equals(Optional.of(leader))) {
            follow(term, Optional.of(leader), nowNanos);
        }
        mLeaderHeardNanos = Optional.of(nowNanos);
        mDeadlineNanos = nowNanos + RaftTimings.followerWait(mRandom);
        return true;
    }

    private void follow(long term, Optional<MemberId> leader, long nowNanos) {
        mPromises.raiseTerm(term);
        mRole = LogStatus.Role.FOLLOWER;
        mLeader = leader;
        mLeadership = Optional.empty();
        mElection = Optional.empty();
        mLeaderHeardNanos = Optional.empty();
        mEntries.leaderChanged();
        mDeadlineNanos = nowNanos + RaftTimings.followerWait(mRandom);
    }

    /** Hands a reply to the leadership of its term; steps down if its term is newer. */
    private void onReply(long term, MemberId from, Consumer<Leadership> reply, long nowNanos) {
        if (mLeadership.filter(l -> l.progress(from) != null).isEmpty()) {
            return;
        }
        if (term > term()) {
            follow(term, Optional.empty(), nowNanos);
        } else if (term == term()) {
            reply.accept(mLeadership.get());
            afterLeaderEvent(nowNanos);
        }
    }

    private void replyToAppend(MemberId leader, boolean success, long index, long round) {
        mOut.send(leader, RaftMessages.appendReply(mSelf, term(), success, index, round));
    }

    private void commitTo(long index) {
        for (; mCommit < index; mCommit++) {
            mOut.committed(mLog.entry(mCommit + 1));
        }
    }

    private void sendWhenDurable(MemberId to, Message payload) {
        Outbox.envelope(to, payload).ifPresent(mWrites::sendWhenDurable);
    }
}
