package org.jacinthwharf.process.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.MemberId;

/**
 * The votes that a candidate received in one pre-vote or vote round.
 *
 * <p>Not thread-safe. Invariant: only votes of members of the candidate's member set count; a
 * founding (bootstrap) round has no member set and requires the vote of a member on every
 * configured VM. A member is identified by its VM id and its disk id ({@link MemberId}).
 */
final class Election {
    private final boolean mPreVote;
    private final boolean mFounding;
    private final Set<MemberId> mVoters = new HashSet<>();

    Election(Campaign campaign, boolean founding) {
        mPreVote = campaign == Campaign.PRE_VOTE;
        mFounding = founding;
    }

    boolean isPreVote() {
        return mPreVote;
    }

    boolean isFounding() {
        return mFounding;
    }

    void recordVote(MemberId voter) {
        mVoters.add(voter);
    }

    boolean isWon(RaftLog log, RaftSettings settings) {
        if (!mFounding) {
            return log.isMajority((int) log.members().stream().filter(mVoters::contains).count());
        }
        return settings.configured().stream().allMatch(this::hasVoteFrom);
    }

    /** Returns the members that voted in a founding round, one for each VM, ordered by VM. */
    List<MemberId> founders(RaftSettings settings) {
        return settings.configured().stream()
                .map(
                        vm ->
                                mVoters.stream()
                                        .filter(m -> m.getVmId().equals(vm.value()))
                                        .findFirst()
                                        .orElseThrow())
                .toList();
    }

    private boolean hasVoteFrom(VmId vm) {
        return mVoters.stream().anyMatch(m -> m.getVmId().equals(vm.value()));
    }
}
