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
import org.jacinthwharf.wire.generated.RaftLeave;
import org.jacinthwharf.wire.generated.RaftLeaveReply;
import org.jacinthwharf.wire.generated.RaftSnapshot;
import org.jacinthwharf.wire.generated.RaftSnapshotReply;
import org.jacinthwharf.wire.generated.RaftTimeoutNow;
import org.jacinthwharf.wire.generated.RaftVoteReply;
import org.jacinthwharf.wire.generated.RaftVoteRequest;

/**
 * The Raft state machine of one member: handles events with the current time, collects effects.
 *
 * <p>Not thread-safe; does no I/O and reads no clock. Invariants: one leader per term; the term
 * never decreases; the commit index never decreases; votes and acknowledgements are sent only after
 * the state behind them is synced; from a failed write to the next successful one, the member
 * neither leads, campaigns nor votes, and acknowledges nothing that it has not stored before.
 *
 * <p>{@link VotingState} describes how the first group is founded and why there is never a second.
 */
final class RaftCore {
    private final RaftSettings mSettings;
    private final MemberId mSelf;
    private final RandomGenerator mRandom;
    private final RaftLog mLog;
    private final WriteBuffer mWrites;
    private final MembershipChanges mMembershipChanges;
    private final PendingEffects mEffects = new PendingEffects();
    private final VotingState mVotingState;
    private final FollowerLog mFollowerLog;
    private RaftStatus.Role mRole = RaftStatus.Role.FOLLOWER;
    private Optional<MemberId> mLeader = Optional.empty();
    private Optional<Long> mLeaderContactNanos = Optional.empty();
    private Optional<Election> mElection = Optional.empty();
    private Optional<Leadership> mLeadership = Optional.empty();
    private Optional<Departure> mDeparture = Optional.empty();
    private long mElectionDeadlineNanos;
    private long mNextJoinNanos;
    private long mCommitIndex;
    private long mLeaderRound;

    RaftCore(
            RaftSettings settings,
            MemberId self,
            HardState hardState,
            RaftLog log,
            RandomGenerator random,
            long nowNanos) {
        mSettings = settings;
        mSelf = self;
        mLog = log;
        mRandom = random;
        mWrites = new WriteBuffer(log);
        mVotingState = new VotingState(settings, log, mWrites, hardState);
        mFollowerLog = new FollowerLog(log, mWrites);
        mMembershipChanges = new MembershipChanges(settings, log);
        mCommitIndex = log.snapshotIndex();
        mElectionDeadlineNanos = nowNanos + RaftTimings.startupTimeout(random);
        mNextJoinNanos = nowNanos;
    }

    long term() {
        return mVotingState.term();
    }

    boolean isLeader() {
        return mRole == RaftStatus.Role.LEADER;
    }

    Optional<MemberId> leader() {
        return isLeader() ? Optional.of(mSelf) : mLeader;
    }

    RaftLog log() {
        return mLog;
    }

    RaftStatus status(long appliedIndex) {
        RaftStatus.Role role =
                mRole == RaftStatus.Role.FOLLOWER && !isMember() ? RaftStatus.Role.LEARNER : mRole;
        return new RaftStatus(
                role,
                term(),
                leader().flatMap(m -> VmId.parse(m.getVmId())),
                mCommitIndex,
                appliedIndex,
                mLog.members(),
                mWrites.isFailing());
    }

    RaftEffects takeEffects() {
        return mEffects.take(mWrites, mVotingState.hardState());
    }

    /** Runs timers; called several times per heartbeat interval. */
    void tick(long nowNanos) {
        if (mLeadership.isPresent()) {
            tickAsLeader(mLeadership.get(), nowNanos);
        } else if (nowNanos >= mElectionDeadlineNanos && mayCampaign()) {
            campaign(Campaign.PRE_VOTE, nowNanos);
        }
        if (mDeparture.isPresent()) {
            mDeparture
                    .filter(d -> d.startRequest(nowNanos))
                    .ifPresent(d -> continueDeparture(d, nowNanos));
        } else if (!isLeader() && !isMember() && nowNanos >= mNextJoinNanos) {
            mNextJoinNanos = nowNanos + RaftTimings.JOIN_INTERVAL_NANOS;
            RaftJoin join = RaftJoin.newBuilder().setMember(mSelf).build();
            sendToPeers(join);
        }
    }

    private void sendToPeers(Message payload) {
        mSettings
                .peerVms(mLog.members())
                .forEach(vm -> mEffects.addMessage(RaftMessages.anyIdentityOn(vm), payload));
    }

    /**
     * Starts to leave the group, before the process ends: the member hands over leadership, and
     * neither campaigns nor joins any more.
     */
    void leave(long nowNanos, long deadlineNanos) {
        mDeparture = Optional.of(new Departure(nowNanos, deadlineNanos));
    }

    /** Returns how the departure ended, or empty before. */
    Optional<LeaveOutcome> leaveOutcome() {
        return mDeparture.flatMap(Departure::outcome);
    }

    private void continueDeparture(Departure departure, long nowNanos) {
        boolean mayBeReplaced = mLog.members().size() > 1 && isMember();
        boolean mayShrink = mLog.members().size() > MembershipChanges.MIN_MEMBERS;
        if (!mayBeReplaced || (leader().isEmpty() && !mayShrink)) {
            // Alone, a learner, or in a group of the smallest size that may be without a majority.
            departure.end(LeaveOutcome.STAYS);
        } else if (mLeadership.isPresent()) {
            mMembershipChanges
                    .nextLeader(mLeadership.get(), nowNanos)
                    .ifPresent(m -> mEffects.addMessage(m, RaftMessages.timeoutNow(mSelf, term())));
        } else {
            mLeader.filter(l -> isLeaderReachable(nowNanos))
                    .ifPresentOrElse(
                            l -> mEffects.addMessage(l, RaftMessages.leave(mSelf)),
                            () -> sendToPeers(RaftMessages.leave(mSelf)));
        }
    }

    /** Records that a VM refused a connection, so that no member runs on it. */
    void onRefused(VmId vm) {
        mLeadership.ifPresent(l -> l.recordRefusal(vm.value()));
    }

    /** Appends a command and returns its index, or empty if this member is not the leader. */
    OptionalLong propose(ByteString command, long nowNanos) {
        stepDownWithoutQuorum(nowNanos);
        if (mLeadership.isEmpty()) {
            return OptionalLong.empty();
        }
        LogEntry.Builder entry = LogEntry.newBuilder().setCommand(command);
        return OptionalLong.of(mLeadership.get().append(entry, nowNanos));
    }

    /** Starts the read barrier {@code id}; returns false if this member is not the leader. */
    boolean startReadBarrier(long id, long nowNanos) {
        stepDownWithoutQuorum(nowNanos);
        if (mLeadership.isEmpty()) {
            return false;
        }
        mLeadership.get().startReadBarrier(id, nowNanos);
        takeConfirmedReads();
        return true;
    }

    /** Handles the completion of the batch in the last effects. */
    void onBatchSynced(long nowNanos) {
        mEffects.addMessages(mWrites.batchSynced());
        if (mLeadership.isPresent()) {
            advanceAsLeader(nowNanos);
        } else if (mElection.filter(e -> !e.isPreVote()).isPresent()) {
            countOwnVote(nowNanos);
        } else if (mLeader.isPresent() && mFollowerLog.durableMatchIndex() > 0) {
            replyToAppend(mLeader.get(), true, mFollowerLog.durableMatchIndex(), mLeaderRound);
        }
    }

    /** Handles the failure of the batch in the last effects. */
    void onBatchFailed(long nowNanos) {
        mWrites.batchFailed();
        if (isLeader() || mElection.isPresent()) {
            becomeFollower(term(), Optional.empty(), nowNanos);
        }
    }

    /** Prepares to write the whole state, after {@link #onBatchFailed}. */
    void retryBatch() {
        mWrites.retryBatch();
    }

    /** Replaces the entries up to {@code appliedIndex} by a snapshot of the state after it. */
    void compact(long appliedIndex, ByteString state) {
        checkState(
                appliedIndex <= mCommitIndex,
                "cannot compact entry %s, which is not committed",
                appliedIndex);
        mWrites.snapshotReplaced(mLog.compact(appliedIndex, state));
    }

    /** Handles a message from another member; ignores messages of other protocols. */
    void receive(Envelope envelope, long nowNanos) {
        stepDownWithoutQuorum(nowNanos);
        switch (envelope.getPayloadCase()) {
            case RAFT_VOTE_REQUEST -> onVoteRequest(envelope.getRaftVoteRequest(), nowNanos);
            case RAFT_VOTE_REPLY -> onVoteReply(envelope.getRaftVoteReply(), nowNanos);
            case RAFT_APPEND -> onAppend(envelope.getRaftAppend(), nowNanos);
            case RAFT_APPEND_REPLY -> {
                RaftAppendReply m = envelope.getRaftAppendReply();
                onReply(m.getTerm(), m.getMember(), l -> l.onAppendReply(m, nowNanos), nowNanos);
            }
            case RAFT_SNAPSHOT -> onSnapshot(envelope.getRaftSnapshot(), nowNanos);
            case RAFT_SNAPSHOT_REPLY -> {
                RaftSnapshotReply m = envelope.getRaftSnapshotReply();
                onReply(m.getTerm(), m.getMember(), l -> l.onSnapshotReply(m, nowNanos), nowNanos);
            }
            case RAFT_JOIN -> onJoin(envelope.getRaftJoin(), nowNanos);
            case RAFT_LEAVE -> onLeave(envelope.getRaftLeave(), nowNanos);
            case RAFT_LEAVE_REPLY ->
                    mDeparture.ifPresent(d -> d.onReply(envelope.getRaftLeaveReply()));
            case RAFT_TIMEOUT_NOW -> onTimeoutNow(envelope.getRaftTimeoutNow(), nowNanos);
            default -> {}
        }
    }

    /** Answers a request to leave; a member that is not the leader forwards it once. */
    private void onLeave(RaftLeave leave, long nowNanos) {
        if (mLeadership.isPresent()) {
            RaftLeaveReply.Outcome outcome =
                    mMembershipChanges.leave(mLeadership.get(), leave.getMember(), nowNanos);
            mEffects.addMessage(leave.getMember(), RaftMessages.leaveReply(outcome));
        } else if (!leave.getPassedOn()) {
            mLeader.ifPresent(
                    l -> mEffects.addMessage(l, leave.toBuilder().setPassedOn(true).build()));
        }
    }

    private void onTimeoutNow(RaftTimeoutNow request, long nowNanos) {
        boolean current =
                request.getTerm() == term() && mLeader.equals(Optional.of(request.getLeader()));
        if (current && mayCampaign()) {
            campaign(Campaign.TRANSFER, nowNanos);
        }
    }

    /** Handles a request to join; a member that is not the leader forwards it once. */
    private void onJoin(RaftJoin join, long nowNanos) {
        if (mLeadership.isPresent()) {
            mMembershipChanges.join(mLeadership.get(), join.getMember(), nowNanos);
        } else if (!join.getPassedOn()) {
            mLeader.ifPresent(
                    l -> mEffects.addMessage(l, join.toBuilder().setPassedOn(true).build()));
        }
    }

    private void tickAsLeader(Leadership leadership, long nowNanos) {
        stepDownWithoutQuorum(nowNanos);
        if (!isLeader()) {
            return;
        }
        leadership.removeUnreachableLearners(nowNanos);
        leadership.sendHeartbeatIfDue(nowNanos);
        mMembershipChanges
                .nextChange(leadership, nowNanos)
                .ifPresent(e -> leadership.append(e, nowNanos));
    }

    private void advanceAsLeader(long nowNanos) {
        mLeadership.get().advanceCommit(nowNanos);
        commitTo(mLeadership.get().commitIndex());
        takeConfirmedReads();
    }

    private void takeConfirmedReads() {
        mEffects.addConfirmedReads(mLeadership.get().takeConfirmedReads());
    }

    private void stepDownWithoutQuorum(long nowNanos) {
        if (mLeadership.isPresent()
                && !mLeadership.get().isMajorityReachable(mLog.members(), nowNanos)) {
            becomeFollower(term(), Optional.empty(), nowNanos);
        }
    }

    private boolean isMember() {
        return mLog.members().contains(mSelf);
    }

    private boolean mayCampaign() {
        return mDeparture.isEmpty() && !mWrites.isFailing() && (isMember() || mayFound());
    }

    private boolean mayFound() {
        return mLog.isEmpty()
                && mSettings.mayFound()
                && mSettings.self().equals(mSettings.founder());
    }

    private void campaign(Campaign campaign, long nowNanos) {
        mRole = RaftStatus.Role.CANDIDATE;
        mLeader = Optional.empty();
        mElectionDeadlineNanos = nowNanos + RaftTimings.candidateTimeout(mRandom);
        mElection = Optional.of(new Election(campaign, mLog.isEmpty()));
        if (campaign != Campaign.PRE_VOTE) {
            mVotingState.startCandidacy(mSelf);
        }
        long term = campaign == Campaign.PRE_VOTE ? term() + 1 : term();
        RaftVoteRequest request = RaftMessages.voteRequest(mSelf, term, mLog, campaign);
        for (String vm : mSettings.peerVms(mLog.members())) {
            sendWhenDurable(RaftMessages.anyIdentityOn(vm), request);
        }
        countOwnVote(nowNanos);
    }

    /** Counts this candidate's own vote if it is synced. */
    private void countOwnVote(long nowNanos) {
        if (mWrites.isFullySynced() || mElection.get().isPreVote()) {
            mElection.get().recordVote(mSelf);
            finishElectionIfWon(nowNanos);
        }
    }

    private void finishElectionIfWon(long nowNanos) {
        Election election = mElection.get();
        if (!election.isWon(mLog, mSettings)) {
            return;
        }
        if (election.isPreVote()) {
            campaign(Campaign.VOTE, nowNanos);
            return;
        }
        mRole = RaftStatus.Role.LEADER;
        mElection = Optional.empty();
        mLeadership =
                Optional.of(
                        new Leadership(
                                mSelf,
                                term(),
                                mLog,
                                mWrites,
                                mCommitIndex,
                                m -> mEffects.addMessage(m.to(), m.payload())));
        LogEntry.Builder first =
                election.isFounding()
                        ? MembershipChanges.memberSetEntry(election.founders(mSettings))
                        : LogEntry.newBuilder();
        mLeadership.get().start(first, nowNanos);
    }

    private void onVoteRequest(RaftVoteRequest r, long nowNanos) {
        if (isLeader() && !mLog.members().contains(r.getCandidate())) {
            // The candidate was removed while it was unreachable.
            mMembershipChanges.join(mLeadership.get(), r.getCandidate(), nowNanos);
        }
        boolean hasLeader = isLeader() || isLeaderReachable(nowNanos);
        if ((hasLeader && !r.getLeadershipTransfer()) || mWrites.isFailing()) {
            // A member that was partitioned must not disrupt a group with a leader. A member that
            // cannot store its vote does not even grant a pre-vote, which would start elections
            // that nobody wins.
            return;
        }
        boolean allowed = mVotingState.mayVoteFor(r);
        RaftVoteReply.Builder reply =
                RaftVoteReply.newBuilder().setVoter(mSelf).setPreVote(r.getPreVote());
        if (r.getPreVote()) {
            boolean granted = allowed && r.getTerm() > term();
            reply.setGranted(granted).setTerm(granted ? r.getTerm() : term());
            mEffects.addMessage(r.getCandidate(), reply.build());
            return;
        }
        // A refused founder does not raise the term of an existing group.
        if (r.getTerm() > term() && (allowed || !VotingState.isFounding(r))) {
            becomeFollower(r.getTerm(), Optional.empty(), nowNanos);
        }
        boolean granted = mVotingState.grant(r);
        if (granted) {
            mElectionDeadlineNanos = nowNanos + RaftTimings.followerTimeout(mRandom);
        }
        sendWhenDurable(r.getCandidate(), reply.setGranted(granted).setTerm(term()).build());
    }

    private boolean isLeaderReachable(long nowNanos) {
        return mLeaderContactNanos
                .filter(t -> nowNanos - t < RaftTimings.ELECTION_TIMEOUT_NANOS)
                .isPresent();
    }

    private void onVoteReply(RaftVoteReply r, long nowNanos) {
        if (r.getTerm() > term() && !(r.getPreVote() && r.getGranted())) {
            becomeFollower(r.getTerm(), Optional.empty(), nowNanos);
            return;
        }
        boolean current =
                mElection
                        .filter(e -> e.isPreVote() == r.getPreVote())
                        .filter(e -> r.getTerm() == term() + (e.isPreVote() ? 1 : 0))
                        .isPresent();
        if (current && r.getGranted()) {
            mElection.get().recordVote(r.getVoter());
            finishElectionIfWon(nowNanos);
        }
    }

    private void onAppend(RaftAppend a, long nowNanos) {
        if (!acceptLeader(a.getTerm(), a.getLeader(), nowNanos)) {
            replyToAppend(a.getLeader(), false, mCommitIndex, 0);
            return;
        }
        mLeaderRound = a.getRound();
        if (!mFollowerLog.append(a, mCommitIndex)) {
            // The committed entries match for certain, so the leader continues after them.
            replyToAppend(a.getLeader(), false, mCommitIndex, mLeaderRound);
            return;
        }
        commitTo(Math.min(a.getCommitIndex(), FollowerLog.lastCoveredIndex(a)));
        replyToAppend(a.getLeader(), true, mFollowerLog.durableMatchIndex(), mLeaderRound);
    }

    private void onSnapshot(RaftSnapshot s, long nowNanos) {
        if (!acceptLeader(s.getTerm(), s.getLeader(), nowNanos)) {
            replyToAppend(s.getLeader(), false, mCommitIndex, 0);
            return;
        }
        if (s.getLastIndex() > mCommitIndex) {
            mFollowerLog.install(s, mCommitIndex);
            mCommitIndex = s.getLastIndex();
            mEffects.addRestore(mLog.snapshot());
        }
        mFollowerLog.recordMatch(s.getLastIndex());
        sendWhenDurable(s.getLeader(), RaftMessages.snapshotReply(mSelf, term(), s.getLastIndex()));
    }

    /** Follows the leader of {@code term}; returns false if the term is outdated. */
    private boolean acceptLeader(long term, MemberId leader, long nowNanos) {
        if (term < term()) {
            return false;
        }
        checkState(
                !isLeader() || term > term(),
                "%s claims leadership of term %s, which %s leads",
                leader,
                term,
                mSelf);
        if (term > term() || mElection.isPresent() || !mLeader.equals(Optional.of(leader))) {
            becomeFollower(term, Optional.of(leader), nowNanos);
        }
        mLeaderContactNanos = Optional.of(nowNanos);
        mElectionDeadlineNanos = nowNanos + RaftTimings.followerTimeout(mRandom);
        return true;
    }

    private void becomeFollower(long term, Optional<MemberId> leader, long nowNanos) {
        mVotingState.raiseTerm(term);
        mRole = RaftStatus.Role.FOLLOWER;
        mLeader = leader;
        mLeadership = Optional.empty();
        mElection = Optional.empty();
        mLeaderContactNanos = Optional.empty();
        mFollowerLog.resetMatch();
        mElectionDeadlineNanos = nowNanos + RaftTimings.followerTimeout(mRandom);
    }

    /** Passes a reply to the leadership of its term; steps down if the term is newer. */
    private void onReply(long term, MemberId from, Consumer<Leadership> reply, long nowNanos) {
        if (mLeadership.filter(l -> l.progress(from) != null).isEmpty()) {
            return;
        }
        if (term > term()) {
            becomeFollower(term, Optional.empty(), nowNanos);
        } else if (term == term()) {
            reply.accept(mLeadership.get());
            advanceAsLeader(nowNanos);
        }
    }

    private void replyToAppend(MemberId leader, boolean success, long index, long round) {
        mEffects.addMessage(leader, RaftMessages.appendReply(mSelf, term(), success, index, round));
    }

    private void commitTo(long index) {
        for (; mCommitIndex < index; mCommitIndex++) {
            mEffects.addCommitted(mLog.entry(mCommitIndex + 1));
        }
    }

    private void sendWhenDurable(MemberId to, Message payload) {
        PendingEffects.envelope(to, payload).ifPresent(mWrites::sendWhenDurable);
    }
}
