package org.jacinthwharf.process.consensus;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.MemberId;

/**
 * What a member knows of its group.
 *
 * <p>Immutable.
 *
 * @param role this member's part in the current term
 * @param term current term
 * @param leader leader of the term, if known
 * @param commitIndex last committed entry
 * @param appliedIndex last applied entry
 * @param members members that vote
 */
public record LogStatus(
        Role role,
        long term,
        Optional<VmId> leader,
        long commitIndex,
        long appliedIndex,
        ImmutableList<MemberId> members) {

    /** Part of a member in a term; a learner receives the log and does not vote. */
    public enum Role {
        LEARNER,
        FOLLOWER,
        CANDIDATE,
        LEADER
    }
}
