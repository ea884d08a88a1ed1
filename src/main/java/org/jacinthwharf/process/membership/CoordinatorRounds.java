package org.jacinthwharf.process.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.ViewAck;
import org.jacinthwharf.wire.generated.ViewRenewal;

/**
 * The coordinator's rounds of renewal and its set of members.
 *
 * <p>Invariants: rounds grow over the whole incarnation; the coordinator's lease counts from the
 * first sending of a round that a majority acknowledged; the members of an epoch never change; a
 * router that may still act on an earlier epoch is remembered until its lease must have lapsed. Not
 * thread-safe.
 */
final class CoordinatorRounds {
    private static final int KEPT_ROUNDS = 16;

    private final DomainVoters mVoters;
    private final RouterIncarnation mSelf;
    private final TreeMap<Long, Round> mRounds = new TreeMap<>();
    private final Map<RouterIncarnation, Peer> mPeers = new HashMap<>();
    private final TreeSet<RouterIncarnation> mMembers = new TreeSet<>(View.MEMBER_ORDER);
    private long mEpoch;
    private long mRound;
    private long mConfirmedRound;
    private long mHighestRefusal;
    private long mLeaseUntilNanos = Long.MIN_VALUE;
    private long mSettledAtNanos = Long.MIN_VALUE;
    private long mLastRoundNanos = Long.MIN_VALUE;
    private boolean mSelfLeaving;

    private static final class Round {
        final long mSentAtNanos;
        final long mEpoch;
        final Set<String> mVoters = new HashSet<>();

        Round(long sentAtNanos, long epoch) {
            mSentAtNanos = sentAtNanos;
            mEpoch = epoch;
        }
    }

    private static final class Peer {
        long mLastAckNanos;
        long mAckedRound;
        long mAckedEpoch;
        boolean mLeaving;
        // What the coordinator had received when the current round was first sent.
        long mAckedAtRoundStart;
        // No lease of this peer is valid later, on the coordinator's clock.
        long mLeaseBoundNanos = Long.MIN_VALUE;
    }

    CoordinatorRounds(DomainVoters voters, RouterIncarnation self) {
        mVoters = voters;
        mSelf = self;
    }

    /** Starts to coordinate with the votes of {@code granters} to a request sent at the time. */
    void begin(
            long epoch, Collection<RouterIncarnation> granters, long requestSentNanos, long now) {
        mEpoch = epoch;
        mHighestRefusal = 0;
        mMembers.clear();
        mMembers.addAll(granters);
        granters.forEach(member -> peer(member).mLastAckNanos = now);
        mLeaseUntilNanos = requestSentNanos + LeaseTimes.HOLDER_LEASE_NANOS;
        // A majority voted, so leases from other coordinators have lapsed; members that hold one
        // from an earlier term of this coordinator may run slower clocks.
        mSettledAtNanos = Math.max(now, lastBoundOfOthers());
        mLastRoundNanos = Long.MIN_VALUE;
    }

    /**
     * Starts to coordinate as the successor of a coordinator that stopped, whose promises from
     * voters have not lapsed. Leases in its last view may be as fresh as this call.
     */
    void beginAfter(
            View last,
            long epoch,
            Collection<RouterIncarnation> granters,
            long requestSentNanos,
            long now) {
        begin(
                epoch,
                granters.stream().filter(last.members()::contains).toList(),
                requestSentNanos,
                now);
        for (RouterIncarnation member : last.members()) {
            Peer peer = peer(member);
            peer.mLastAckNanos = now;
            peer.mLeaseBoundNanos = now + LeaseTimes.LEASE_NANOS;
            mMembers.add(member);
        }
        mSettledAtNanos = Math.max(now, lastBoundOfOthers());
    }

    /**
     * Returns the router to hand over to, once a majority acknowledged a view without this one and
     * nobody can act on an earlier view.
     */
    Optional<RouterIncarnation> successor(long now) {
        Round round = mRounds.get(mConfirmedRound);
        if (!mSelfLeaving || round == null || round.mEpoch != mEpoch || now < mSettledAtNanos) {
            return Optional.empty();
        }
        return mMembers.contains(mSelf)
                ? Optional.empty()
                : mMembers.stream().filter(this::knowsMembers).findFirst();
    }

    private boolean knowsMembers(RouterIncarnation member) {
        return mPeers.containsKey(member) && mPeers.get(member).mAckedEpoch >= mEpoch;
    }

    boolean isRoundDue(long now) {
        return mLastRoundNanos == Long.MIN_VALUE
                || now - mLastRoundNanos >= LeaseTimes.RENEWAL_NANOS;
    }

    /** Starts a round; returns its messages. */
    ImmutableList<ViewOutput> startRound(LeaseVoter ownVoter, long now) {
        updateMembers(now);
        mRound++;
        mLastRoundNanos = now;
        Round round = new Round(now, mEpoch);
        mRounds.put(mRound, round);
        while (mRounds.size() > KEPT_ROUNDS) {
            mRounds.pollFirstEntry();
        }
        mPeers.values().forEach(peer -> peer.mAckedAtRoundStart = peer.mAckedRound);
        if (ownVoter.onRenewal(renewal(now).build(), now).getAccepted()) {
            countAck(mRound, mSelf.vm().value());
        }
        return sends(true, now);
    }

    /** Returns messages that tell members of the confirmed round without starting a new one. */
    ImmutableList<ViewOutput> confirmations(long now) {
        return sends(false, now);
    }

    /** Counts an ack; returns whether members should hear of a confirmation at once. */
    boolean onAck(ViewAck ack, long now) {
        String voter = MemberIds.voterOf(ack.getMember());
        if (!mVoters.isVoter(voter) || ack.getRound() > mRound) {
            return false;
        }
        if (!ack.getAccepted()) {
            if (ack.getEpoch() == mEpoch && ack.getHighestEpoch() >= mEpoch) {
                mHighestRefusal = Math.max(mHighestRefusal, ack.getHighestEpoch());
            }
            return false;
        }
        long settledBefore = mSettledAtNanos;
        MemberIds.parse(ack.getMember()).ifPresent(member -> noteMember(member, ack, now));
        boolean confirmed = countAck(ack.getRound(), voter);
        return confirmed || (settledBefore > now && mSettledAtNanos <= now);
    }

    private void noteMember(RouterIncarnation member, ViewAck ack, long now) {
        Peer peer = peer(member);
        peer.mLastAckNanos = now;
        peer.mAckedRound = Math.max(peer.mAckedRound, ack.getRound());
        if (!ack.getMembersUnknown()) {
            peer.mAckedEpoch = Math.max(peer.mAckedEpoch, ack.getEpoch());
        }
        peer.mLeaving = ack.getLeaving();
        if (mMembers.contains(member)) {
            peer.mLeaseBoundNanos = now + LeaseTimes.LEASE_NANOS;
        }
        if (ack.getLeaving()) {
            peer.mLeaseBoundNanos = Long.MIN_VALUE;
        }
        mSettledAtNanos = Math.min(mSettledAtNanos, Math.max(now, lastBoundOfOthers()));
    }

    private boolean countAck(long number, String voter) {
        Round round = mRounds.get(number);
        if (round == null) {
            return false;
        }
        round.mVoters.add(voter);
        if (number <= mConfirmedRound || round.mVoters.size() < mVoters.majority()) {
            return false;
        }
        mConfirmedRound = number;
        mLeaseUntilNanos =
                Math.max(mLeaseUntilNanos, round.mSentAtNanos + LeaseTimes.HOLDER_LEASE_NANOS);
        return true;
    }

    private void updateMembers(long now) {
        TreeSet<RouterIncarnation> next = new TreeSet<>(View.MEMBER_ORDER);
        mPeers.forEach(
                (member, peer) -> {
                    boolean alive = now - peer.mLastAckNanos < LeaseTimes.LEASE_NANOS;
                    if (alive && !peer.mLeaving && isLatest(member) && !member.equals(mSelf)) {
                        next.add(member);
                    }
                });
        if (!mSelfLeaving) {
            next.add(mSelf);
        }
        if (!next.equals(mMembers) || mHighestRefusal >= mEpoch) {
            mEpoch = Math.max(mEpoch, mHighestRefusal) + 1;
            mMembers.clear();
            mMembers.addAll(next);
            mSettledAtNanos = Math.max(now, lastBoundOfOthers());
        }
        mPeers.entrySet()
                .removeIf(
                        entry ->
                                !mMembers.contains(entry.getKey())
                                        && now - entry.getValue().mLastAckNanos
                                                > 2 * LeaseTimes.LEASE_NANOS);
    }

    private boolean isLatest(RouterIncarnation member) {
        return mPeers.keySet().stream()
                .noneMatch(
                        other ->
                                other.vm().equals(member.vm())
                                        && other.incarnation() > member.incarnation());
    }

    private long lastBoundOfOthers() {
        return mPeers.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(mSelf))
                .filter(entry -> entry.getValue().mAckedEpoch < mEpoch)
                .mapToLong(entry -> entry.getValue().mLeaseBoundNanos)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    private ImmutableList<ViewOutput> sends(boolean newRound, long now) {
        ImmutableList.Builder<ViewOutput> out = ImmutableList.builder();
        for (VmId vm : mVoters.routers()) {
            if (!vm.equals(mSelf.vm())) {
                ViewRenewal.Builder renewal = renewal(now);
                Optional<RouterIncarnation> member = memberOn(vm);
                member.map(mPeers::get)
                        .ifPresent(peer -> renewal.setAcknowledgedRound(peer.mAckedAtRoundStart));
                boolean known = member.map(this::knowsMembers).orElse(false);
                if (known || !newRound) {
                    renewal.clearMembers().setMembersKnown(newRound);
                }
                out.add(send(vm.value(), renewal));
            }
        }
        if (mVoters.hasWitness() && newRound) {
            // The witness needs no members; an empty list would mean a confirmation to it.
            out.add(
                    send(
                            DomainVoters.WITNESS,
                            renewal(now).clearMembers().addMembers(mSelf.toString())));
        }
        return out.build();
    }

    private static ViewOutput send(String to, ViewRenewal.Builder renewal) {
        return new ViewOutput.Send(to, Envelope.newBuilder().setViewRenewal(renewal).build());
    }

    private ViewRenewal.Builder renewal(long now) {
        ViewRenewal.Builder renewal =
                ViewRenewal.newBuilder()
                        .setFailureDomain(mVoters.failureDomain().value())
                        .setCoordinator(mSelf.toString())
                        .setVoters(mVoters.fingerprint())
                        .setEpoch(mEpoch)
                        .setRound(mRound)
                        .setConfirmedRound(mConfirmedRound)
                        .setSettleNanos(Math.max(0, mSettledAtNanos - now));
        mMembers.forEach(member -> renewal.addMembers(member.toString()));
        if (mMembers.isEmpty()) {
            // An empty list means a confirmation; name the coordinator, which owns nothing then.
            renewal.addMembers(mSelf.toString());
        }
        return renewal;
    }

    private Optional<RouterIncarnation> memberOn(VmId vm) {
        return mMembers.stream().filter(member -> member.vm().equals(vm)).findFirst();
    }

    private Peer peer(RouterIncarnation member) {
        return mPeers.computeIfAbsent(member, ignored -> new Peer());
    }

    /** Takes this router out of the next view; it coordinates until it stops. */
    void leaveSelf() {
        mSelfLeaving = true;
    }

    long leaseUntilNanos() {
        return mLeaseUntilNanos;
    }

    View view() {
        ImmutableSortedSet<RouterIncarnation> members =
                ImmutableSortedSet.copyOf(View.MEMBER_ORDER, mMembers);
        long lease = mSelfLeaving || !members.contains(mSelf) ? Long.MIN_VALUE : mLeaseUntilNanos;
        return new View(mEpoch, mSelf, members, lease, mSettledAtNanos);
    }
}
