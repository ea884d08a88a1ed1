package org.jacinthwharf.process.consensus;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.MemberId;

/**
 * The status of a member and of its group as the member sees it.
 *
 * <p>Immutable.
 *
 * @param role this member's role in the current term
 * @param term the current term
 * @param leader the leader of the term, if known
 * @param commitIndex index of the last committed entry
 * @param appliedIndex index of the last applied entry
 * @param members the voting members
 * @param storageFailing whether the last write failed; the member does not vote meanwhile
 */
public record RaftStatus(
        Role role,
        long term,
        Optional<VmId> leader,
        long commitIndex,
        long appliedIndex,
        ImmutableList<MemberId> members,
        boolean storageFailing) {

    /** Role of a member in a term; a learner receives the log and does not vote. */
    public enum Role {
        LEARNER,
        FOLLOWER,
        CANDIDATE,
        LEADER
    }
}
