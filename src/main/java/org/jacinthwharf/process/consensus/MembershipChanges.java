package org.jacinthwharf.process.consensus;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.LogEntry;
import org.jacinthwharf.wire.generated.MemberId;
import org.jacinthwharf.wire.generated.MemberSet;
import org.jacinthwharf.wire.generated.RaftLeaveReply;

/**
 * Decides which identity a leader removes or adds next.
 *
 * <p>Not thread-safe. Invariants: members change one at a time, and a change is proposed only after
 * the previous one and an entry of the leader's own term are committed, so that any two majorities
 * in force at once share a member; a learner is added only when it has synced all committed
 * entries; an identity that is still reachable is never replaced. A member that asks to leave, or
 * that is {@linkplain Progress#isLost lost}, is removed while there are more than {@link
 * #MIN_MEMBERS}, so that a new VM can replace it; a member that was only suspended or partitioned,
 * or that restarts after it has left, rejoins.
 */
final class MembershipChanges {
    /** A group with fewer members cannot tolerate the loss of one. */
    static final int MIN_MEMBERS = 3;

    private final RaftSettings mSettings;
    private final RaftLog mLog;

    /** Members that asked to leave, with the time of their last request. */
    private final Map<MemberId, Long> mLeaving = new HashMap<>();

    MembershipChanges(RaftSettings settings, RaftLog log) {
        mSettings = settings;
        mLog = log;
    }

    /** Adds a learner unless its identity is a member already. */
    void join(Leadership leadership, MemberId learner, long nowNanos) {
        boolean allowed =
                VmId.parse(learner.getVmId())
                        .filter(vm -> !vm.equals(mSettings.self()))
                        .isPresent();
        boolean unreachableOrNew =
                onSameVm(learner)
                        .map(old -> !leadership.progress(old).isReachable(nowNanos))
                        .orElse(true);
        if (allowed && unreachableOrNew && !mLog.members().contains(learner)) {
            leadership.addLearner(learner, nowNanos);
        }
    }

    /** Records a member's request to leave and returns the answer. */
    RaftLeaveReply.Outcome leave(Leadership leadership, MemberId member, long nowNanos) {
        if (!mLog.members().contains(member)) {
            return mLog.membersIndex() > leadership.commitIndex()
                    ? RaftLeaveReply.Outcome.PENDING
                    : RaftLeaveReply.Outcome.LEFT;
        }
        mLeaving.put(member, nowNanos);
        boolean mayLeave = mLog.members().size() > MIN_MEMBERS || hasSuccessor(leadership);
        return mayLeave ? RaftLeaveReply.Outcome.PENDING : RaftLeaveReply.Outcome.STAYS;
    }

    /** Returns whether a learner on another VM is about to become a member. */
    private boolean hasSuccessor(Leadership leadership) {
        return leadership.learners().stream().anyMatch(l -> onSameVm(l).isEmpty());
    }

    /** Returns the member that can lead at once instead of this one, if there is one. */
    Optional<MemberId> nextLeader(Leadership leadership, long nowNanos) {
        return leadership.upToDateMembers(nowNanos).stream()
                .filter(m -> !isLeaving(m, nowNanos))
                .findFirst();
    }

    private boolean isLeaving(MemberId member, long nowNanos) {
        Long requested = mLeaving.get(member);
        return requested != null && nowNanos - requested < RaftTimings.LEAVE_VALIDITY_NANOS;
    }

    /** Returns the next member set to append, if a member is to be added or removed. */
    Optional<LogEntry.Builder> nextChange(Leadership leadership, long nowNanos) {
        if (!leadership.hasCommitted() || mLog.membersIndex() > leadership.commitIndex()) {
            return Optional.empty();
        }
        return leadership.learners().stream()
                .filter(m -> leadership.progress(m).isReachable(nowNanos))
                .filter(m -> leadership.progress(m).matchIndex() >= leadership.commitIndex())
                .sorted((a, b) -> a.getVmId().compareTo(b.getVmId()))
                .findFirst()
                .map(m -> nextMemberSetFor(m))
                .or(() -> withoutLeavingMember(nowNanos))
                .or(() -> withoutUnreachableMember(leadership, nowNanos))
                .filter(set -> leadership.isMajorityReachable(set, nowNanos))
                .map(MembershipChanges::memberSetEntry);
    }

    private Optional<List<MemberId>> withoutLeavingMember(long nowNanos) {
        mLeaving.keySet().removeIf(m -> !isLeaving(m, nowNanos));
        if (mLog.members().size() <= MIN_MEMBERS) {
            return Optional.empty();
        }
        return mLog.members().stream()
                .filter(m -> isLeaving(m, nowNanos))
                .findFirst()
                .map(this::membersWithout);
    }

    private Optional<List<MemberId>> withoutUnreachableMember(
            Leadership leadership, long nowNanos) {
        if (mLog.members().size() <= MIN_MEMBERS) {
            return Optional.empty();
        }
        return mLog.members().stream()
                .filter(m -> leadership.progress(m) != null)
                .filter(m -> leadership.progress(m).isLost(nowNanos))
                .max(
                        Comparator.comparingLong(
                                m -> leadership.progress(m).nanosSinceContact(nowNanos)))
                .map(this::membersWithout);
    }

    private List<MemberId> membersWithout(MemberId removed) {
        return mLog.members().stream().filter(m -> !m.equals(removed)).toList();
    }

    /** Returns an entry that sets the members. */
    static LogEntry.Builder memberSetEntry(List<MemberId> members) {
        return LogEntry.newBuilder().setMembers(MemberSet.newBuilder().addAllMembers(members));
    }

    private List<MemberId> nextMemberSetFor(MemberId learner) {
        Optional<MemberId> old = onSameVm(learner);
        if (old.isPresent()) {
            return membersWithout(old.get());
        }
        return Stream.concat(mLog.members().stream(), Stream.of(learner))
                .collect(ImmutableList.toImmutableList());
    }

    private Optional<MemberId> onSameVm(MemberId learner) {
        return mLog.members().stream()
                .filter(m -> m.getVmId().equals(learner.getVmId()))
                .filter(m -> !m.equals(learner))
                .findFirst();
    }
}
