package org.jacinthwharf.process.consensus;

import org.jacinthwharf.wire.generated.MemberId;
import org.jacinthwharf.wire.generated.RaftVoteRequest;

/**
 * The term, the vote and the founder of a member, and the rules by which it grants votes.
 *
 * <p>Not thread-safe. Invariants: the term never falls; one vote for each term; once a founder is
 * promised, no other identity gets a founding vote; every change is noted for writing before a
 * message that follows from it can be sent.
 *
 * <p>Founding a group. Disk ids are random, so the first member set cannot come from settings. An
 * empty member that is the first configured VM, and that settings allow to found, runs an election
 * whose request names log index 0. It wins only with the vote of an identity of <em>every</em>
 * configured VM; its first entry is the set of the identities that voted. A member grants such a
 * vote only if it is empty itself, and with the first grant promises, synced, never to grant one to
 * another identity. Why no second group can arise: a group that exists has the synced votes of all
 * its first members. If some of them lose their disks (also two, also the founder), an empty
 * founder needs the vote of a member that kept its disk, and that member refuses: either its log is
 * not empty, or it promised itself to the first founder's identity. Only when every configured
 * member has lost its disk can a new group be founded; then nothing is left to contradict, and
 * {@link RaftSettings#mayFound} decides. The price: a founder that loses its disk before its group
 * is founded leaves promises that only an operator can clear, by emptying the other data folders;
 * nothing is committed at that time.
 *
 * <p>Lost disk. A member with an empty folder has a new identity, so it holds no vote of the old
 * one: votes and acknowledgements count only for identities in the member set. It campaigns only
 * when a member set names its new identity; until then it asks to join.
 */
final class Promises {
    private final RaftSettings mSettings;
    private final RaftLog mLog;
    private final WriteBuffer mWrites;
    private StoredTerm mStored;

    Promises(RaftSettings settings, RaftLog log, WriteBuffer writes, StoredTerm stored) {
        mSettings = settings;
        mLog = log;
        mWrites = writes;
        mStored = stored;
    }

    StoredTerm stored() {
        return mStored;
    }

    long term() {
        return mStored.term();
    }

    void raiseTerm(long term) {
        if (term > term()) {
            change(mStored.withTerm(term));
        }
    }

    /** Starts the next term with a vote for this member. */
    void startCandidacy(MemberId self) {
        change(mStored.withTerm(term() + 1).withVote(self));
        if (mLog.isEmpty()) {
            change(mStored.withFounder(self));
        }
    }

    /** Returns whether the candidate's log, or its right to found the group, allows a vote. */
    boolean allows(RaftVoteRequest r) {
        if (isFounding(r)) {
            return mLog.isEmpty()
                    && r.getCandidate().getVmId().equals(mSettings.founder().value())
                    && mStored.founder().filter(f -> !f.equals(r.getCandidate())).isEmpty();
        }
        return r.getLastTerm() > mLog.lastTerm()
                || (r.getLastTerm() == mLog.lastTerm() && r.getLastIndex() >= mLog.lastIndex());
    }

    /** Grants the vote of the present term if the rules allow it; returns whether it did. */
    boolean grant(RaftVoteRequest r) {
        boolean granted =
                allows(r)
                        && r.getTerm() == term()
                        && mStored.vote().filter(v -> !v.equals(r.getCandidate())).isEmpty();
        if (granted) {
            change(mStored.withVote(r.getCandidate()));
            if (isFounding(r)) {
                change(mStored.withFounder(r.getCandidate()));
            }
        }
        return granted;
    }

    /** Returns whether the candidate is empty; it then asks to found the group. */
    static boolean isFounding(RaftVoteRequest r) {
        return r.getLastIndex() == 0;
    }

    private void change(StoredTerm stored) {
        mStored = stored;
        mWrites.termChanged();
    }
}
