package org.jacinthwharf.process.consensus;

import org.jacinthwharf.wire.generated.MemberId;
import org.jacinthwharf.wire.generated.RaftVoteRequest;

/**
 * The hard state of a member (term, vote and founder) and the rules by which it grants votes.
 *
 * <p>Not thread-safe. Invariants: the term never decreases; a member grants one vote per term;
 * after its first founding vote, it grants no founding vote to another identity; every change is
 * queued for writing before a message that depends on it can be sent.
 *
 * <p>Founding (bootstrapping) a group. The identity of a member is its VM id with its disk id
 * ({@link MemberId}). Disk ids are random, so the first member set cannot come from settings. An
 * empty member on the first configured VM, if settings allow it to found a group, runs an election
 * whose request has log index 0. It wins only with the vote of an identity on <em>every</em>
 * configured VM; its first entry is the set of the identities that voted. A member grants such a
 * vote only if its own log is empty, and durably records the candidate as its founder.
 *
 * <p>No second group can be founded: an existing group has the synced votes of all its first
 * members. If some of them lose their disks (even two, or the founder), an empty founder needs the
 * vote of a member that kept its disk, and that member refuses, because its log is not empty or
 * because it recorded the identity of the first founder. Only if every configured member has lost
 * its disk can a new group be founded; then no committed state is left, and {@link
 * RaftSettings#mayFound} decides. The drawback: if a founder loses its disk before its group is
 * founded, the other members stay bound to its identity until an operator empties their data
 * folders; nothing is committed at that time.
 *
 * <p>Disk loss. A member with an empty data folder has a new identity and holds no vote of the old
 * one: votes and acknowledgements count only for identities in the member set. It campaigns only
 * after a member set includes its new identity; until then it asks to join.
 */
final class VotingState {
    private final RaftSettings mSettings;
    private final RaftLog mLog;
    private final WriteBuffer mWrites;
    private HardState mHardState;

    VotingState(RaftSettings settings, RaftLog log, WriteBuffer writes, HardState hardState) {
        mSettings = settings;
        mLog = log;
        mWrites = writes;
        mHardState = hardState;
    }

    HardState hardState() {
        return mHardState;
    }

    long term() {
        return mHardState.term();
    }

    void raiseTerm(long term) {
        if (term > term()) {
            change(mHardState.withTerm(term));
        }
    }

    /** Starts the next term with a vote for this member. */
    void startCandidacy(MemberId self) {
        change(mHardState.withTerm(term() + 1).withVote(self));
        if (mLog.isEmpty()) {
            change(mHardState.withFounder(self));
        }
    }

    /** Returns whether the candidate's log is up to date, or whether it may found the group. */
    boolean mayVoteFor(RaftVoteRequest r) {
        if (isFounding(r)) {
            return mLog.isEmpty()
                    && r.getCandidate().getVmId().equals(mSettings.founder().value())
                    && mHardState.founder().filter(f -> !f.equals(r.getCandidate())).isEmpty();
        }
        return r.getLastTerm() > mLog.lastTerm()
                || (r.getLastTerm() == mLog.lastTerm() && r.getLastIndex() >= mLog.lastIndex());
    }

    /** Grants the vote of the current term if the rules allow it; returns whether it did. */
    boolean grant(RaftVoteRequest r) {
        boolean granted =
                mayVoteFor(r)
                        && r.getTerm() == term()
                        && mHardState.vote().filter(v -> !v.equals(r.getCandidate())).isEmpty();
        if (granted) {
            change(mHardState.withVote(r.getCandidate()));
            if (isFounding(r)) {
                change(mHardState.withFounder(r.getCandidate()));
            }
        }
        return granted;
    }

    /** Returns whether the candidate's log is empty; the request is then to found the group. */
    static boolean isFounding(RaftVoteRequest r) {
        return r.getLastIndex() == 0;
    }

    private void change(HardState hardState) {
        mHardState = hardState;
        mWrites.hardStateChanged();
    }
}
