package org.jacinthwharf.process.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.LeaseVote;
import org.jacinthwharf.wire.generated.LeaseVoteRequest;
import org.jacinthwharf.wire.generated.ViewAck;
import org.jacinthwharf.wire.generated.ViewRenewal;

/**
 * The part of one router in electing the coordinator and maintaining the view of its failure
 * domain.
 *
 * <p>Invariants, as long as clock rates differ by at most 1%: at most one coordinator has a valid
 * lease; no two routers that hold valid leases and observe {@link
 * View#previousLeasesExpiredAtNanos} own the same backend server. Leases also expire while the
 * process is suspended: every call first expires a lease that ended before it.
 *
 * <p>Not thread-safe; used on the event loop. The caller sends the outputs after the call returns;
 * a message that is sent late only shortens leases.
 */
public final class DomainView {
    private enum Role {
        FOLLOWER,
        CANDIDATE,
        COORDINATOR
    }

    private final DomainVoters mVoters;
    private final RouterIncarnation mSelf;
    private final RandomGenerator mRandom;
    private final LeaseVoter mVoter;
    private final CoordinatorRounds mRounds;
    private final Set<String> mGrantingVoters = new HashSet<>();
    private final Set<RouterIncarnation> mGrantingRouters = new HashSet<>();

    private ImmutableList.Builder<ViewOutput> mOutputs = ImmutableList.builder();
    private Role mRole = Role.FOLLOWER;
    private MemberLease mLease = new MemberLease();
    private Optional<View> mView = Optional.empty();
    private final ViewReports mReports = new ViewReports();
    private boolean mLeaving;
    private long mHighestSeenEpoch;
    private long mCandidateEpoch;
    private long mCandidacyStartNanos;
    private long mElectionAtNanos;
    // Last view of the coordinator that named this router as its successor.
    private Optional<View> mPredecessorView = Optional.empty();

    /**
     * Creates the state of a router that starts now without a view.
     *
     * @param self this incarnation of the router; its VM is one of the configured routers
     * @param random source of the election jitter
     */
    public DomainView(
            DomainVoters voters, RouterIncarnation self, RandomGenerator random, long nowNanos) {
        mVoters = voters;
        mSelf = self;
        mRandom = random;
        mVoter = new LeaseVoter(self.toString(), nowNanos, LeaseDurations.LEASE_NANOS);
        mRounds = new CoordinatorRounds(voters, self);
        resetElectionTimer(nowNanos);
    }

    /** Runs timers; must be called at least every 100 ms. */
    public ImmutableList<ViewOutput> onTick(long nowNanos) {
        expireLease(nowNanos);
        if (mRole == Role.COORDINATOR) {
            if (mRounds.isRoundDue(nowNanos)) {
                startRound(nowNanos);
            }
        } else if (nowNanos >= mElectionAtNanos) {
            if (mRole == Role.CANDIDATE) {
                withdrawCandidacy();
                mElectionAtNanos = nowNanos + random(LeaseDurations.CANDIDACY_TIMEOUT_NANOS);
            } else if (!mLeaving) {
                campaign(nowNanos);
            }
        }
        return drainOutputs(nowNanos);
    }

    /** Handles a vote request, or a handover if the request names this router as the candidate. */
    public ImmutableList<ViewOutput> onVoteRequest(LeaseVoteRequest request, long nowNanos) {
        expireLease(nowNanos);
        if (request.getCandidate().equals(mSelf.toString())) {
            acceptHandover(request, nowNanos);
        } else if (isFromPeer(
                request.getFailureDomain(), request.getVoters(), request.getCandidate())) {
            mHighestSeenEpoch = Math.max(mHighestSeenEpoch, request.getEpoch());
            LeaseVote vote = mVoter.onVoteRequest(request, nowNanos);
            if (vote.getGranted()) {
                resetElectionTimer(nowNanos);
            }
            if (!request.getWithdrawn()) {
                send(request.getCandidate(), Envelope.newBuilder().setLeaseVote(vote));
            }
        }
        return drainOutputs(nowNanos);
    }

    /** Handles a vote for this router. */
    public ImmutableList<ViewOutput> onVote(LeaseVote vote, long nowNanos) {
        expireLease(nowNanos);
        mHighestSeenEpoch = Math.max(mHighestSeenEpoch, vote.getHighestEpoch());
        String voter = MemberIds.voterOf(vote.getVoter());
        if (mRole == Role.CANDIDATE
                && vote.getGranted()
                && vote.getEpoch() == mCandidateEpoch
                && mVoters.isVoter(voter)) {
            mGrantingVoters.add(voter);
            MemberIds.parse(vote.getVoter()).ifPresent(mGrantingRouters::add);
            becomeCoordinatorIfElected(nowNanos);
        }
        return drainOutputs(nowNanos);
    }

    /** Handles a coordinator's renewal. */
    public ImmutableList<ViewOutput> onRenewal(ViewRenewal renewal, long nowNanos) {
        expireLease(nowNanos);
        if (isFromPeer(renewal.getFailureDomain(), renewal.getVoters(), renewal.getCoordinator())) {
            mHighestSeenEpoch = Math.max(mHighestSeenEpoch, renewal.getEpoch());
            // A renewal without members that does not state that they are known is a confirmation.
            if (renewal.getMembersCount() == 0 && !renewal.getMembersKnown()) {
                onConfirmation(renewal, nowNanos);
            } else {
                acknowledge(renewal, nowNanos);
            }
        }
        return drainOutputs(nowNanos);
    }

    /** Handles the acknowledgement of a renewal sent by this router. */
    public ImmutableList<ViewOutput> onAck(ViewAck ack, long nowNanos) {
        expireLease(nowNanos);
        mHighestSeenEpoch = Math.max(mHighestSeenEpoch, ack.getHighestEpoch());
        if (mRole == Role.COORDINATOR && mRounds.onAck(ack, nowNanos)) {
            mRounds.confirmationMessages(nowNanos).forEach(mOutputs::add);
        }
        if (mRole == Role.COORDINATOR) {
            mRounds.successor(nowNanos).ifPresent(next -> handOver(next, nowNanos));
        }
        return drainOutputs(nowNanos);
    }

    /**
     * Stops coordinating and names a successor, so that the successor can be elected before the
     * lease of this router expires.
     */
    private void handOver(RouterIncarnation successor, long now) {
        mView = Optional.of(mRounds.view().withoutLease());
        mLease = new MemberLease();
        mRole = Role.FOLLOWER;
        resetElectionTimer(now);
        LeaseVoteRequest request =
                voteRequest(mRounds.view().epoch())
                        .setCandidate(successor.toString())
                        .setHandedOverBy(mSelf.toString())
                        .build();
        send(successor.toString(), Envelope.newBuilder().setLeaseVoteRequest(request));
    }

    private void acceptHandover(LeaseVoteRequest request, long now) {
        if (mRole == Role.FOLLOWER
                && !mLeaving
                && request.getFailureDomain().equals(mVoters.failureDomain().value())
                && mView.filter(v -> isSameView(v, request.getEpoch(), request.getHandedOverBy()))
                        .isPresent()) {
            mPredecessorView = mView;
            campaign(now);
        }
    }

    /** Relinquishes this router's lease permanently, before a planned stop. */
    public ImmutableList<ViewOutput> leave(long nowNanos) {
        expireLease(nowNanos);
        mLeaving = true;
        mLease.relinquish();
        mRounds.excludeSelf();
        if (mRole == Role.COORDINATOR) {
            startRound(nowNanos);
        }
        return drainOutputs(nowNanos);
    }

    /** Returns the last installed view, with or without a valid lease. */
    public Optional<View> view() {
        return mRole == Role.COORDINATOR ? Optional.of(mRounds.view()) : mView;
    }

    /**
     * Returns whether this router holds no valid lease at {@code nowNanos}, which must be the
     * current time.
     */
    public boolean isStandalone(long nowNanos) {
        return view().map(view -> !view.isLeaseValid(nowNanos)).orElse(true);
    }

    /** Returns whether this router coordinates with a valid lease. */
    public boolean isCoordinator(long nowNanos) {
        return mRole == Role.COORDINATOR && nowNanos < mRounds.leaseUntilNanos();
    }

    private void expireLease(long now) {
        if (mRole == Role.COORDINATOR && now >= mRounds.leaseUntilNanos()) {
            mView = Optional.of(mRounds.view());
            mLease = new MemberLease();
            mRole = Role.FOLLOWER;
            mElectionAtNanos = now + random(LeaseDurations.ELECTION_JITTER_NANOS);
        }
        if (isStandalone(now)) {
            mReports.reportLeaseEnd().ifPresent(mOutputs::add);
        }
    }

    private void campaign(long now) {
        mElectionAtNanos = now + random(LeaseDurations.CANDIDACY_TIMEOUT_NANOS);
        long epoch = Math.max(mHighestSeenEpoch, mVoter.highestEpoch()) + 1;
        LeaseVoteRequest.Builder builder = voteRequest(epoch);
        mPredecessorView.ifPresent(last -> builder.setHandedOverBy(last.coordinator().toString()));
        LeaseVoteRequest request = builder.build();
        LeaseVote own = mVoter.onVoteRequest(request, now);
        if (!own.getGranted()) {
            mPredecessorView = Optional.empty();
            return;
        }
        mRole = Role.CANDIDATE;
        mCandidateEpoch = epoch;
        mCandidacyStartNanos = now;
        mElectionAtNanos = now + LeaseDurations.CANDIDACY_TIMEOUT_NANOS;
        mGrantingVoters.clear();
        mGrantingRouters.clear();
        mGrantingVoters.add(mSelf.vm().value());
        mGrantingRouters.add(mSelf);
        becomeCoordinatorIfElected(now);
        if (mRole == Role.CANDIDATE) {
            sendToVoters(request);
        }
    }

    private void becomeCoordinatorIfElected(long now) {
        if (mGrantingVoters.size() < mVoters.majority()
                || now >= mCandidacyStartNanos + LeaseDurations.HOLDER_LEASE_NANOS) {
            return;
        }
        mRole = Role.COORDINATOR;
        mLease = new MemberLease();
        if (mPredecessorView.isPresent()) {
            mRounds.startAsSuccessor(
                    mPredecessorView.get(),
                    mCandidateEpoch,
                    mGrantingRouters,
                    mCandidacyStartNanos,
                    now);
            mPredecessorView = Optional.empty();
        } else {
            mRounds.start(mCandidateEpoch, mGrantingRouters, mCandidacyStartNanos, now);
        }
        startRound(now);
    }

    private void withdrawCandidacy() {
        mRole = Role.FOLLOWER;
        mPredecessorView = Optional.empty();
        mVoter.release(mSelf.toString(), mCandidateEpoch);
        sendToVoters(voteRequest(mCandidateEpoch).setWithdrawn(true).build());
    }

    private void startRound(long now) {
        mRounds.startRound(mVoter, now).forEach(mOutputs::add);
    }

    private void onConfirmation(ViewRenewal renewal, long now) {
        View view = mView.orElse(null);
        if (mRole != Role.COORDINATOR
                && view != null
                && isSameView(view, renewal.getEpoch(), renewal.getCoordinator())
                && view.members().contains(mSelf)) {
            mLease.onConfirmed(renewal.getConfirmedRound());
            install(renewal, view.members(), now);
        }
    }

    private void acknowledge(ViewRenewal renewal, long now) {
        if (mRole == Role.CANDIDATE) {
            withdrawCandidacy();
        }
        ViewAck ack = mVoter.onRenewal(renewal, now);
        Optional<ImmutableSortedSet<RouterIncarnation>> known = membersOf(renewal);
        if (ack.getAccepted()) {
            resetElectionTimer(now);
        }
        if (ack.getAccepted() && known.isPresent()) {
            ImmutableSortedSet<RouterIncarnation> members = known.get();
            boolean sameCoordinator =
                    mView.map(view -> view.coordinator().toString())
                            .filter(renewal.getCoordinator()::equals)
                            .isPresent();
            if (!sameCoordinator) {
                mLease = new MemberLease();
            }
            if (members.contains(mSelf) && !mLeaving) {
                mLease.onRenewal(renewal);
            } else {
                mLease.relinquish();
            }
            mLease.onAckSent(renewal.getRound(), now);
            install(renewal, members, now);
        }
        send(
                renewal.getCoordinator(),
                Envelope.newBuilder()
                        .setViewAck(
                                ack.toBuilder()
                                        .setLeaving(mLeaving)
                                        .setMembersUnknown(known.isEmpty())));
    }

    /** Returns the members of a renewal, which may carry only the epoch of the installed view. */
    private Optional<ImmutableSortedSet<RouterIncarnation>> membersOf(ViewRenewal renewal) {
        if (renewal.getMembersCount() == 0) {
            return mView.filter(v -> isSameView(v, renewal.getEpoch(), renewal.getCoordinator()))
                    .map(View::members);
        }
        return Optional.of(MemberIds.parseAll(renewal.getMembersList()));
    }

    private void install(
            ViewRenewal renewal, ImmutableSortedSet<RouterIncarnation> members, long now) {
        RouterIncarnation coordinator = MemberIds.parse(renewal.getCoordinator()).orElseThrow();
        long previousLeasesExpiredAtNanos = now + renewal.getSettleNanos();
        if (mView.isPresent()
                && isSameView(mView.get(), renewal.getEpoch(), renewal.getCoordinator())) {
            previousLeasesExpiredAtNanos =
                    Math.min(
                            previousLeasesExpiredAtNanos,
                            mView.get().previousLeasesExpiredAtNanos());
        }
        mView =
                Optional.of(
                        new View(
                                renewal.getEpoch(),
                                coordinator,
                                members,
                                mLease.validUntilNanos(),
                                previousLeasesExpiredAtNanos));
    }

    private ImmutableList<ViewOutput> drainOutputs(long now) {
        View view = view().orElse(null);
        if (mLeaving && view != null && mRole != Role.COORDINATOR) {
            view = view.withoutLease();
            mView = Optional.of(view);
        }
        mReports.report(view, isStandalone(now)).forEach(mOutputs::add);
        ImmutableList<ViewOutput> out = mOutputs.build();
        mOutputs = ImmutableList.builder();
        return out;
    }

    private static boolean isSameView(View view, long epoch, String coordinator) {
        return view.epoch() == epoch && view.coordinator().toString().equals(coordinator);
    }

    private boolean isFromPeer(String failureDomain, int votersFingerprint, String sender) {
        return votersFingerprint == mVoters.fingerprint()
                && failureDomain.equals(mVoters.failureDomain().value())
                && !sender.equals(mSelf.toString())
                && MemberIds.parse(sender).map(RouterIncarnation::vm).stream()
                        .anyMatch(vm -> mVoters.routers().contains(vm));
    }

    private LeaseVoteRequest.Builder voteRequest(long epoch) {
        return LeaseVoteRequest.newBuilder()
                .setFailureDomain(mVoters.failureDomain().value())
                .setCandidate(mSelf.toString())
                .setVoters(mVoters.fingerprint())
                .setEpoch(epoch);
    }

    private void sendToVoters(LeaseVoteRequest request) {
        Envelope envelope = Envelope.newBuilder().setLeaseVoteRequest(request).build();
        mVoters.routers().stream()
                .filter(vm -> !vm.equals(mSelf.vm()))
                .forEach(vm -> mOutputs.add(new ViewOutput.Send(vm.value(), envelope)));
        if (mVoters.hasWitness()) {
            mOutputs.add(new ViewOutput.Send(DomainVoters.WITNESS, envelope));
        }
    }

    private void send(String to, Envelope.Builder envelope) {
        mOutputs.add(new ViewOutput.Send(MemberIds.voterOf(to), envelope.build()));
    }

    private void resetElectionTimer(long now) {
        mElectionAtNanos =
                now + LeaseDurations.LEASE_NANOS + random(LeaseDurations.ELECTION_JITTER_NANOS);
    }

    private long random(long boundNanos) {
        return mRandom.nextLong(boundNanos);
    }
}
