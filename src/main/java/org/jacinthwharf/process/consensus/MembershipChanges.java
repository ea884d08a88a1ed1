package org.jacinthwharf.process.consensus;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.LogEntry;
import org.jacinthwharf.wire.generated.MemberId;
import org.jacinthwharf.wire.generated.MemberSet;

/**
 * Decides which identity a leader removes or adds next.
 *
 * <p>Not thread-safe. Invariants: members change one at a time, and a change is proposed only after
 * the previous one and an entry of the leader's own term are committed, so that any two majorities
 * in force at once share a member; a learner is added only when it has synced all committed
 * entries; an identity that is still reachable is never replaced. A member without contact for
 * {@link RaftTimings#REMOVAL_TIMEOUT_NANOS} is removed while there are more than {@link
 * #MIN_MEMBERS}, so that a new VM can replace a lost one; a member that was only suspended or
 * partitioned rejoins.
 */
final class MembershipChanges {
    /** A group with fewer members cannot tolerate the loss of one. */
    static final int MIN_MEMBERS = 3;

    private final RaftSettings mSettings;
    private final RaftLog mLog;

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
                .or(() -> withoutUnreachableMember(leadership, nowNanos))
                .filter(set -> leadership.isMajorityReachable(set, nowNanos))
                .map(MembershipChanges::memberSetEntry);
    }

    private Optional<List<MemberId>> withoutUnreachableMember(
            Leadership leadership, long nowNanos) {
        if (mLog.members().size() <= MIN_MEMBERS) {
            return Optional.empty();
        }
        return mLog.members().stream()
                .filter(m -> leadership.progress(m) != null)
                .filter(
                        m ->
                                leadership.progress(m).nanosSinceContact(nowNanos)
                                        > RaftTimings.REMOVAL_TIMEOUT_NANOS)
                .max(
                        Comparator.comparingLong(
                                m -> leadership.progress(m).nanosSinceContact(nowNanos)))
                .map(
                        unreachable ->
                                mLog.members().stream()
                                        .filter(m -> !m.equals(unreachable))
                                        .toList());
    }

    /** Returns an entry that sets the members. */
    static LogEntry.Builder memberSetEntry(List<MemberId> members) {
        return LogEntry.newBuilder().setMembers(MemberSet.newBuilder().addAllMembers(members));
    }

    private List<MemberId> nextMemberSetFor(MemberId learner) {
        Optional<MemberId> old = onSameVm(learner);
        if (old.isPresent()) {
            return mLog.members().stream().filter(m -> !m.equals(old.get())).toList();
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
