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
 * One router's part in electing a coordinator and keeping a view of its failure domain.
 *
 * <p>Invariants, as long as clock rates differ by at most 1%: at most one coordinator has a valid
 * lease; no two routers that hold valid leases and observe {@link View#previousLapsedAtNanos} own
 * the same backend server. Time not spent running counts: every call first ends a lease that lapsed
 * before it.
 *
 * <p>Not thread-safe; used on the event loop. Outputs must be sent after the call returns; a
 * message that is sent late only shortens leases.
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
    private final Set<String> mGrants = new HashSet<>();
    private final Set<RouterIncarnation> mGranters = new HashSet<>();

    private ImmutableList.Builder<ViewOutput> mOut = ImmutableList.builder();
    private Role mRole = Role.FOLLOWER;
    private MemberLease mLease = new MemberLease();
    private Optional<View> mView = Optional.empty();
    private final ViewReports mReports = new ViewReports();
    private boolean mLeaving;
    private long mHighestHeard;
    private long mCandidateEpoch;
    private long mCandidacyNanos;
    private long mElectionAtNanos;
    // The coordinator that named this router as its successor, and its last view.
    private Optional<View> mHandedOver = Optional.empty();

    /**
     * Creates the view of a router that starts now and knows nothing.
     *
     * @param self this run of the router; its VM is one of the configured routers
     * @param random spreads the times at which routers stand for election
     */
    public DomainView(
            DomainVoters voters, RouterIncarnation self, RandomGenerator random, long nowNanos) {
        mVoters = voters;
        mSelf = self;
        mRandom = random;
        mVoter = new LeaseVoter(self.toString(), nowNanos, LeaseTimes.LEASE_NANOS);
        mRounds = new CoordinatorRounds(voters, self);
        waitForCoordinator(nowNanos);
    }

    /** Advances time; to be called at least every 100 ms. */
    public ImmutableList<ViewOutput> onTick(long nowNanos) {
        endLapsed(nowNanos);
        if (mRole == Role.COORDINATOR) {
            if (mRounds.isRoundDue(nowNanos)) {
                startRound(nowNanos);
            }
        } else if (nowNanos >= mElectionAtNanos) {
            if (mRole == Role.CANDIDATE) {
                giveUp();
                mElectionAtNanos = nowNanos + random(LeaseTimes.CANDIDACY_NANOS);
            } else if (!mLeaving) {
                stand(nowNanos);
            }
        }
        return outputs(nowNanos);
    }

    /** Answers a candidate. */
    public ImmutableList<ViewOutput> onVoteRequest(LeaseVoteRequest request, long nowNanos) {
        endLapsed(nowNanos);
        if (request.getCandidate().equals(mSelf.toString())) {
            succeed(request, nowNanos);
        } else if (isOtherRouter(
                request.getFailureDomain(), request.getVoters(), request.getCandidate())) {
            mHighestHeard = Math.max(mHighestHeard, request.getEpoch());
            LeaseVote vote = mVoter.onVoteRequest(request, nowNanos);
            if (vote.getGranted()) {
                waitForCoordinator(nowNanos);
            }
            if (!request.getWithdrawn()) {
                send(request.getCandidate(), Envelope.newBuilder().setLeaseVote(vote));
            }
        }
        return outputs(nowNanos);
    }

    /** Counts a vote for this router. */
    public ImmutableList<ViewOutput> onVote(LeaseVote vote, long nowNanos) {
        endLapsed(nowNanos);
        mHighestHeard = Math.max(mHighestHeard, vote.getHighestEpoch());
        String voter = MemberIds.voterOf(vote.getVoter());
        if (mRole == Role.CANDIDATE
                && vote.getGranted()
                && vote.getEpoch() == mCandidateEpoch
                && mVoters.isVoter(voter)) {
            mGrants.add(voter);
            MemberIds.parse(vote.getVoter()).ifPresent(mGranters::add);
            coordinateIfElected(nowNanos);
        }
        return outputs(nowNanos);
    }

    /** Follows a coordinator. */
    public ImmutableList<ViewOutput> onRenewal(ViewRenewal renewal, long nowNanos) {
        endLapsed(nowNanos);
        if (isOtherRouter(
                renewal.getFailureDomain(), renewal.getVoters(), renewal.getCoordinator())) {
            mHighestHeard = Math.max(mHighestHeard, renewal.getEpoch());
            if (renewal.getMembersCount() == 0 && !renewal.getMembersKnown()) {
                confirm(renewal, nowNanos);
            } else {
                follow(renewal, nowNanos);
            }
        }
        return outputs(nowNanos);
    }

    /** Counts the answer to a renewal of this router. */
    public ImmutableList<ViewOutput> onAck(ViewAck ack, long nowNanos) {
        endLapsed(nowNanos);
        mHighestHeard = Math.max(mHighestHeard, ack.getHighestEpoch());
        if (mRole == Role.COORDINATOR && mRounds.onAck(ack, nowNanos)) {
            mRounds.confirmations(nowNanos).forEach(mOut::add);
        }
        if (mRole == Role.COORDINATOR) {
            mRounds.successor(nowNanos).ifPresent(next -> handOver(next, nowNanos));
        }
        return outputs(nowNanos);
    }

    /** Stops coordinating and names a successor, so that voters need not wait for a lapse. */
    private void handOver(RouterIncarnation successor, long now) {
        mView = Optional.of(mRounds.view().withoutLease());
        mLease = new MemberLease();
        mRole = Role.FOLLOWER;
        waitForCoordinator(now);
        LeaseVoteRequest request =
                voteRequest(mRounds.view().epoch())
                        .setCandidate(successor.toString())
                        .setHandedOverBy(mSelf.toString())
                        .build();
        send(successor.toString(), Envelope.newBuilder().setLeaseVoteRequest(request));
    }

    private void succeed(LeaseVoteRequest request, long now) {
        if (mRole == Role.FOLLOWER
                && !mLeaving
                && request.getFailureDomain().equals(mVoters.failureDomain().value())
                && mView.filter(v -> isNamed(v, request.getEpoch(), request.getHandedOverBy()))
                        .isPresent()) {
            mHandedOver = mView;
            stand(now);
        }
    }

    /** Gives up this router's lease for good, before a planned stop. */
    public ImmutableList<ViewOutput> leave(long nowNanos) {
        endLapsed(nowNanos);
        mLeaving = true;
        mLease.drop();
        mRounds.leaveSelf();
        if (mRole == Role.COORDINATOR) {
            startRound(nowNanos);
        }
        return outputs(nowNanos);
    }

    /** Returns the last installed view, with or without a valid lease. */
    public Optional<View> view() {
        return mRole == Role.COORDINATOR ? Optional.of(mRounds.view()) : mView;
    }

    /** Returns whether this router has no valid view; read the clock right before. */
    public boolean isStandalone(long nowNanos) {
        return view().map(view -> !view.isValid(nowNanos)).orElse(true);
    }

    /** Returns whether this router coordinates with a valid lease. */
    public boolean isCoordinator(long nowNanos) {
        return mRole == Role.COORDINATOR && nowNanos < mRounds.leaseUntilNanos();
    }

    private void endLapsed(long now) {
        if (mRole == Role.COORDINATOR && now >= mRounds.leaseUntilNanos()) {
            mView = Optional.of(mRounds.view());
            mLease = new MemberLease();
            mRole = Role.FOLLOWER;
            mElectionAtNanos = now + random(LeaseTimes.ELECTION_SPREAD_NANOS);
        }
        if (isStandalone(now)) {
            mReports.lapse().ifPresent(mOut::add);
        }
    }

    private void stand(long now) {
        mElectionAtNanos = now + random(LeaseTimes.CANDIDACY_NANOS);
        long epoch = Math.max(mHighestHeard, mVoter.highestEpoch()) + 1;
        LeaseVoteRequest.Builder builder = voteRequest(epoch);
        mHandedOver.ifPresent(last -> builder.setHandedOverBy(last.coordinator().toString()));
        LeaseVoteRequest request = builder.build();
        LeaseVote own = mVoter.onVoteRequest(request, now);
        if (!own.getGranted()) {
            mHandedOver = Optional.empty();
            return;
        }
        mRole = Role.CANDIDATE;
        mCandidateEpoch = epoch;
        mCandidacyNanos = now;
        mElectionAtNanos = now + LeaseTimes.CANDIDACY_NANOS;
        mGrants.clear();
        mGranters.clear();
        mGrants.add(mSelf.vm().value());
        mGranters.add(mSelf);
        coordinateIfElected(now);
        if (mRole == Role.CANDIDATE) {
            sendToVoters(request);
        }
    }

    private void coordinateIfElected(long now) {
        if (mGrants.size() < mVoters.majority()
                || now >= mCandidacyNanos + LeaseTimes.HOLDER_LEASE_NANOS) {
            return;
        }
        mRole = Role.COORDINATOR;
        mLease = new MemberLease();
        if (mHandedOver.isPresent()) {
            mRounds.beginAfter(mHandedOver.get(), mCandidateEpoch, mGranters, mCandidacyNanos, now);
            mHandedOver = Optional.empty();
        } else {
            mRounds.begin(mCandidateEpoch, mGranters, mCandidacyNanos, now);
        }
        startRound(now);
    }

    private void giveUp() {
        mRole = Role.FOLLOWER;
        mHandedOver = Optional.empty();
        mVoter.release(mSelf.toString(), mCandidateEpoch);
        sendToVoters(voteRequest(mCandidateEpoch).setWithdrawn(true).build());
    }

    private void startRound(long now) {
        mRounds.startRound(mVoter, now).forEach(mOut::add);
    }

    private void confirm(ViewRenewal renewal, long now) {
        View view = mView.orElse(null);
        if (mRole != Role.COORDINATOR
                && view != null
                && isNamed(view, renewal.getEpoch(), renewal.getCoordinator())
                && view.members().contains(mSelf)) {
            mLease.onConfirmed(renewal.getConfirmedRound());
            install(renewal, view.members(), now);
        }
    }

    private void follow(ViewRenewal renewal, long now) {
        if (mRole == Role.CANDIDATE) {
            giveUp();
        }
        ViewAck ack = mVoter.onRenewal(renewal, now);
        Optional<ImmutableSortedSet<RouterIncarnation>> stated = membersOf(renewal);
        if (ack.getAccepted()) {
            waitForCoordinator(now);
        }
        if (ack.getAccepted() && stated.isPresent()) {
            ImmutableSortedSet<RouterIncarnation> members = stated.get();
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
                mLease.drop();
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
                                        .setMembersUnknown(stated.isEmpty())));
    }

    /** Returns the members of a renewal, which may state only an epoch that is known here. */
    private Optional<ImmutableSortedSet<RouterIncarnation>> membersOf(ViewRenewal renewal) {
        if (renewal.getMembersCount() == 0) {
            return mView.filter(v -> isNamed(v, renewal.getEpoch(), renewal.getCoordinator()))
                    .map(View::members);
        }
        return Optional.of(MemberIds.parseAll(renewal.getMembersList()));
    }

    private void install(
            ViewRenewal renewal, ImmutableSortedSet<RouterIncarnation> members, long now) {
        RouterIncarnation coordinator = MemberIds.parse(renewal.getCoordinator()).orElseThrow();
        long settledAt = now + renewal.getSettleNanos();
        if (mView.isPresent()
                && isNamed(mView.get(), renewal.getEpoch(), renewal.getCoordinator())) {
            settledAt = Math.min(settledAt, mView.get().previousLapsedAtNanos());
        }
        mView =
                Optional.of(
                        new View(
                                renewal.getEpoch(),
                                coordinator,
                                members,
                                mLease.validUntilNanos(),
                                settledAt));
    }

    private ImmutableList<ViewOutput> outputs(long now) {
        View view = view().orElse(null);
        if (mLeaving && view != null && mRole != Role.COORDINATOR) {
            view = view.withoutLease();
            mView = Optional.of(view);
        }
        mReports.report(view, isStandalone(now)).forEach(mOut::add);
        ImmutableList<ViewOutput> out = mOut.build();
        mOut = ImmutableList.builder();
        return out;
    }

    private static boolean isNamed(View view, long epoch, String coordinator) {
        return view.epoch() == epoch && view.coordinator().toString().equals(coordinator);
    }

    private boolean isOtherRouter(String failureDomain, int voters, String sender) {
        return voters == mVoters.fingerprint()
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
                .forEach(vm -> mOut.add(new ViewOutput.Send(vm.value(), envelope)));
        if (mVoters.hasWitness()) {
            mOut.add(new ViewOutput.Send(DomainVoters.WITNESS, envelope));
        }
    }

    private void send(String to, Envelope.Builder envelope) {
        mOut.add(new ViewOutput.Send(MemberIds.voterOf(to), envelope.build()));
    }

    private void waitForCoordinator(long now) {
        mElectionAtNanos = now + LeaseTimes.LEASE_NANOS + random(LeaseTimes.ELECTION_SPREAD_NANOS);
    }

    private long random(long boundNanos) {
        return mRandom.nextLong(boundNanos);
    }
}
