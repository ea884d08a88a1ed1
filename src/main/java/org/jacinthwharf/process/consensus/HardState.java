package org.jacinthwharf.process.consensus;

import java.util.Optional;
import org.jacinthwharf.wire.generated.MemberId;

/**
 * The state that a member must sync before it sends a message that depends on it.
 *
 * <p>Immutable.
 *
 * @param term the highest term seen
 * @param vote the candidate that received the member's vote in that term
 * @param founder the only identity whose founding request this member grants, once set
 */
record HardState(long term, Optional<MemberId> vote, Optional<MemberId> founder) {
    static final HardState NONE = new HardState(0, Optional.empty(), Optional.empty());

    HardState withTerm(long newTerm) {
        return new HardState(newTerm, Optional.empty(), founder);
    }

    HardState withVote(MemberId candidate) {
        return new HardState(term, Optional.of(candidate), founder);
    }

    HardState withFounder(MemberId member) {
        return new HardState(term, vote, Optional.of(member));
    }
}
