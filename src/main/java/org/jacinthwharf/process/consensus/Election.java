package org.jacinthwharf.process.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.MemberId;

/**
 * The votes that a candidate has in one round.
 *
 * <p>Not thread-safe. Invariant: only votes of identities in the candidate's member set count; a
 * founding round has no member set and needs the vote of an identity of every configured VM.
 */
final class Election {
    private final boolean mPreVote;
    private final boolean mFounding;
    private final Set<MemberId> mGranted = new HashSet<>();

    Election(boolean preVote, boolean founding) {
        mPreVote = preVote;
        mFounding = founding;
    }

    boolean isPreVote() {
        return mPreVote;
    }

    boolean isFounding() {
        return mFounding;
    }

    void granted(MemberId voter) {
        mGranted.add(voter);
    }

    boolean isWon(RaftLog log, RaftSettings settings) {
        if (!mFounding) {
            return log.isMajority((int) log.members().stream().filter(mGranted::contains).count());
        }
        return settings.configured().stream().allMatch(this::hasVoteOf);
    }

    /** Returns the identities that granted a founding round, ordered by VM, one for each. */
    List<MemberId> founders(RaftSettings settings) {
        return settings.configured().stream()
                .map(
                        vm ->
                                mGranted.stream()
                                        .filter(m -> m.getVmId().equals(vm.value()))
                                        .findFirst()
                                        .orElseThrow())
                .toList();
    }

    private boolean hasVoteOf(VmId vm) {
        return mGranted.stream().anyMatch(m -> m.getVmId().equals(vm.value()));
    }
}
