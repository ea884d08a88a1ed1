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
 * Tracks the renewal rounds and the member set of the coordinator.
 *
 * <p>Invariants: round numbers increase over the whole incarnation; the coordinator's lease starts
 * when a round that a majority acknowledged was first sent; the members of an epoch never change; a
 * router that may still act on an earlier epoch is tracked until its lease must have expired. Not
 * thread-safe.
 */
final class CoordinatorRounds {
    private static final int MAX_TRACKED_ROUNDS = 16;

    private final DomainVoters mVoters;
    private final RouterIncarnation mSelf;
    private final TreeMap<Long, Round> mRounds = new TreeMap<>();
    private final Map<RouterIncarnation, Peer> mPeers = new HashMap<>();
    private final TreeSet<RouterIncarnation> mMembers = new TreeSet<>(View.MEMBER_ORDER);
    private long mEpoch;
    private long mRound;
    private long mConfirmedRound;
    private long mHighestRejectingEpoch;
    private long mLeaseUntilNanos = Long.MIN_VALUE;
    // Time from which no router acts on an earlier epoch.
    private long mPreviousLeasesExpiredAtNanos = Long.MIN_VALUE;
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
        // Value of mAckedRound when the current round was first sent.
        long mAckedRoundAtRoundStart;
        // Upper bound of the end of this peer's lease, on the coordinator's clock.
        long mLeaseBoundNanos = Long.MIN_VALUE;
    }

    CoordinatorRounds(DomainVoters voters, RouterIncarnation self) {
        mVoters = voters;
        mSelf = self;
    }

    /**
     * Starts to coordinate after {@code grantingRouters} granted a request sent at the given time.
     */
    void start(
            long epoch,
            Collection<RouterIncarnation> grantingRouters,
            long requestSentNanos,
            long now) {
        mEpoch = epoch;
        mHighestRejectingEpoch = 0;
        mMembers.clear();
        mMembers.addAll(grantingRouters);
        grantingRouters.forEach(member -> peer(member).mLastAckNanos = now);
        mLeaseUntilNanos = requestSentNanos + LeaseDurations.HOLDER_LEASE_NANOS;
        // A majority granted its votes, so leases from other coordinators have expired. Members
        // with a lease from an earlier epoch of this coordinator may have slower clocks.
        mPreviousLeasesExpiredAtNanos = Math.max(now, latestLeaseBoundOfOthers());
        mLastRoundNanos = Long.MIN_VALUE;
    }

    /**
     * Starts to coordinate as the successor of a coordinator that stopped while voters' promises to
     * it were still valid. Leases in its last view may have been renewed up to this call.
     */
    void startAsSuccessor(
            View last,
            long epoch,
            Collection<RouterIncarnation> grantingRouters,
            long requestSentNanos,
            long now) {
        start(
                epoch,
                grantingRouters.stream().filter(last.members()::contains).toList(),
                requestSentNanos,
                now);
        for (RouterIncarnation member : last.members()) {
            Peer peer = peer(member);
            peer.mLastAckNanos = now;
            peer.mLeaseBoundNanos = now + LeaseDurations.LEASE_NANOS;
            mMembers.add(member);
        }
        mPreviousLeasesExpiredAtNanos = Math.max(now, latestLeaseBoundOfOthers());
    }

    /**
     * Returns the router to hand over to, once a majority acknowledged a view without this router
     * and no router can act on an earlier view.
     */
    Optional<RouterIncarnation> successor(long now) {
        Round round = mRounds.get(mConfirmedRound);
        if (!mSelfLeaving
                || round == null
                || round.mEpoch != mEpoch
                || now < mPreviousLeasesExpiredAtNanos) {
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
                || now - mLastRoundNanos >= LeaseDurations.RENEWAL_INTERVAL_NANOS;
    }

    /** Starts a renewal round and returns its messages. */
    ImmutableList<ViewOutput> startRound(LeaseVoter ownVoter, long now) {
        updateMembers(now);
        mRound++;
        mLastRoundNanos = now;
        Round round = new Round(now, mEpoch);
        mRounds.put(mRound, round);
        while (mRounds.size() > MAX_TRACKED_ROUNDS) {
            mRounds.pollFirstEntry();
        }
        mPeers.values().forEach(peer -> peer.mAckedRoundAtRoundStart = peer.mAckedRound);
        if (ownVoter.onRenewal(renewal(now).build(), now).getAccepted()) {
            countAck(mRound, mSelf.vm().value());
        }
        return renewalMessages(true, now);
    }

    /** Returns messages that notify members of the confirmed round without starting a new one. */
    ImmutableList<ViewOutput> confirmationMessages(long now) {
        return renewalMessages(false, now);
    }

    /** Counts an ack and returns whether to notify members of a confirmation at once. */
    boolean onAck(ViewAck ack, long now) {
        String voter = MemberIds.voterOf(ack.getMember());
        if (!mVoters.isVoter(voter) || ack.getRound() > mRound) {
            return false;
        }
        if (!ack.getAccepted()) {
            if (ack.getEpoch() == mEpoch && ack.getHighestEpoch() >= mEpoch) {
                mHighestRejectingEpoch = Math.max(mHighestRejectingEpoch, ack.getHighestEpoch());
            }
            return false;
        }
        long previousExpiryNanos = mPreviousLeasesExpiredAtNanos;
        MemberIds.parse(ack.getMember()).ifPresent(member -> recordAck(member, ack, now));
        boolean confirmed = countAck(ack.getRound(), voter);
        return confirmed || (previousExpiryNanos > now && mPreviousLeasesExpiredAtNanos <= now);
    }

    private void recordAck(RouterIncarnation member, ViewAck ack, long now) {
        Peer peer = peer(member);
        peer.mLastAckNanos = now;
        peer.mAckedRound = Math.max(peer.mAckedRound, ack.getRound());
        if (!ack.getMembersUnknown()) {
            peer.mAckedEpoch = Math.max(peer.mAckedEpoch, ack.getEpoch());
        }
        peer.mLeaving = ack.getLeaving();
        if (mMembers.contains(member)) {
            peer.mLeaseBoundNanos = now + LeaseDurations.LEASE_NANOS;
        }
        if (ack.getLeaving()) {
            peer.mLeaseBoundNanos = Long.MIN_VALUE;
        }
        mPreviousLeasesExpiredAtNanos =
                Math.min(mPreviousLeasesExpiredAtNanos, Math.max(now, latestLeaseBoundOfOthers()));
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
                Math.max(mLeaseUntilNanos, round.mSentAtNanos + LeaseDurations.HOLDER_LEASE_NANOS);
        return true;
    }

    private void updateMembers(long now) {
        TreeSet<RouterIncarnation> next = new TreeSet<>(View.MEMBER_ORDER);
        mPeers.forEach(
                (member, peer) -> {
                    boolean alive = now - peer.mLastAckNanos < LeaseDurations.LEASE_NANOS;
                    if (alive && !peer.mLeaving && isLatest(member) && !member.equals(mSelf)) {
                        next.add(member);
                    }
                });
        if (!mSelfLeaving) {
            next.add(mSelf);
        }
        if (!next.equals(mMembers) || mHighestRejectingEpoch >= mEpoch) {
            mEpoch = Math.max(mEpoch, mHighestRejectingEpoch) + 1;
            mMembers.clear();
            mMembers.addAll(next);
            mPreviousLeasesExpiredAtNanos = Math.max(now, latestLeaseBoundOfOthers());
        }
        mPeers.entrySet()
                .removeIf(
                        entry ->
                                !mMembers.contains(entry.getKey())
                                        && now - entry.getValue().mLastAckNanos
                                                > 2 * LeaseDurations.LEASE_NANOS);
    }

    private boolean isLatest(RouterIncarnation member) {
        return mPeers.keySet().stream()
                .noneMatch(
                        other ->
                                other.vm().equals(member.vm())
                                        && other.incarnation() > member.incarnation());
    }

    private long latestLeaseBoundOfOthers() {
        return mPeers.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(mSelf))
                .filter(entry -> entry.getValue().mAckedEpoch < mEpoch)
                .mapToLong(entry -> entry.getValue().mLeaseBoundNanos)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    private ImmutableList<ViewOutput> renewalMessages(boolean newRound, long now) {
        ImmutableList.Builder<ViewOutput> out = ImmutableList.builder();
        for (VmId vm : mVoters.routers()) {
            if (!vm.equals(mSelf.vm())) {
                ViewRenewal.Builder renewal = renewal(now);
                Optional<RouterIncarnation> member = memberOn(vm);
                member.map(mPeers::get)
                        .ifPresent(
                                peer -> renewal.setAcknowledgedRound(peer.mAckedRoundAtRoundStart));
                boolean known = member.map(this::knowsMembers).orElse(false);
                if (known || !newRound) {
                    renewal.clearMembers().setMembersKnown(newRound);
                }
                out.add(send(vm.value(), renewal));
            }
        }
        if (mVoters.hasWitness() && newRound) {
            // The witness needs no members, but an empty list would mean a confirmation.
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
                        .setSettleNanos(Math.max(0, mPreviousLeasesExpiredAtNanos - now));
        mMembers.forEach(member -> renewal.addMembers(member.toString()));
        if (mMembers.isEmpty()) {
            // An empty list means a confirmation; list the coordinator, which then owns nothing.
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

    /** Excludes this router from the next view; it coordinates until it stops. */
    void excludeSelf() {
        mSelfLeaving = true;
    }

    long leaseUntilNanos() {
        return mLeaseUntilNanos;
    }

    View view() {
        ImmutableSortedSet<RouterIncarnation> members =
                ImmutableSortedSet.copyOf(View.MEMBER_ORDER, mMembers);
        long lease = mSelfLeaving || !members.contains(mSelf) ? Long.MIN_VALUE : mLeaseUntilNanos;
        return new View(mEpoch, mSelf, members, lease, mPreviousLeasesExpiredAtNanos);
    }
}
