package org.jacinthwharf.process.consensus;

import java.util.Optional;
import org.jacinthwharf.wire.generated.MemberId;

/**
 * What a member promised.
 *
 * <p>Immutable.
 *
 * @param term highest term that the member saw
 * @param vote candidate that got the member's vote in that term
 * @param founder the only member that may found a group with this one, once promised
 */
record StoredTerm(long term, Optional<MemberId> vote, Optional<MemberId> founder) {
    static final StoredTerm NONE = new StoredTerm(0, Optional.empty(), Optional.empty());

    StoredTerm withTerm(long newTerm) {
        return new StoredTerm(newTerm, Optional.empty(), founder);
    }

    StoredTerm withVote(MemberId candidate) {
        return new StoredTerm(term, Optional.of(candidate), founder);
    }

    StoredTerm withFounder(MemberId member) {
        return new StoredTerm(term, vote, Optional.of(member));
    }
}
