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
 * <p>Not thread-safe. Invariants: one change at a time, each proposed only after the previous one
 * and an entry of the leader's own term are committed, so that any two majorities in force at once
 * share a member; a learner is considered only when it has synced everything that is committed; an
 * identity that is still heard from is never replaced. A member that is silent for {@link
 * RaftTimings#REMOVAL} is removed while more than {@link #LEAST_MEMBERS} are left, so that the
 * successor of a lost VM takes its place; one that was only frozen or cut off joins again.
 */
final class MembershipChanges {
    /** With fewer members, the loss of one more would stop the group. */
    static final int LEAST_MEMBERS = 3;

    private final RaftSettings mSettings;
    private final RaftLog mLog;

    MembershipChanges(RaftSettings settings, RaftLog log) {
        mSettings = settings;
        mLog = log;
    }

    /** Takes a learner if its identity is not a member already. */
    void join(Leadership leadership, MemberId learner, long nowNanos) {
        boolean allowed =
                VmId.parse(learner.getVmId())
                        .filter(vm -> !vm.equals(mSettings.self()))
                        .isPresent();
        boolean silentOrNew =
                onSameVm(learner)
                        .map(old -> !leadership.progress(old).wasHeard(nowNanos))
                        .orElse(true);
        if (allowed && silentOrNew && !mLog.members().contains(learner)) {
            leadership.addLearner(learner, nowNanos);
        }
    }

    /** Returns the next member set to append, if a learner is ready. */
    Optional<LogEntry.Builder> next(Leadership leadership, long nowNanos) {
        if (!leadership.hasCommitted() || mLog.membersIndex() > leadership.commit()) {
            return Optional.empty();
        }
        return leadership.learners().stream()
                .filter(m -> leadership.progress(m).wasHeard(nowNanos))
                .filter(m -> leadership.progress(m).match() >= leadership.commit())
                .sorted((a, b) -> a.getVmId().compareTo(b.getVmId()))
                .findFirst()
                .map(m -> changeFor(m))
                .or(() -> withoutSilentMember(leadership, nowNanos))
                .filter(set -> leadership.isMajorityAlive(set, nowNanos))
                .map(MembershipChanges::entry);
    }

    private Optional<List<MemberId>> withoutSilentMember(Leadership leadership, long nowNanos) {
        if (mLog.members().size() <= LEAST_MEMBERS) {
            return Optional.empty();
        }
        return mLog.members().stream()
                .filter(m -> leadership.progress(m) != null)
                .filter(m -> leadership.progress(m).silentNanos(nowNanos) > RaftTimings.REMOVAL)
                .max(Comparator.comparingLong(m -> leadership.progress(m).silentNanos(nowNanos)))
                .map(gone -> mLog.members().stream().filter(m -> !m.equals(gone)).toList());
    }

    /** Returns the entry that sets the members. */
    static LogEntry.Builder entry(List<MemberId> members) {
        return LogEntry.newBuilder().setMembers(MemberSet.newBuilder().addAllMembers(members));
    }

    private List<MemberId> changeFor(MemberId learner) {
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
