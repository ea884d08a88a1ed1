package org.jacinthwharf.process.consensus;

import org.jacinthwharf.wire.generated.MemberId;
import org.jacinthwharf.wire.generated.RaftAppendReply;
import org.jacinthwharf.wire.generated.RaftLeave;
import org.jacinthwharf.wire.generated.RaftLeaveReply;
import org.jacinthwharf.wire.generated.RaftSnapshotReply;
import org.jacinthwharf.wire.generated.RaftTimeoutNow;
import org.jacinthwharf.wire.generated.RaftVoteRequest;

/** Builds Raft messages. Stateless and thread-safe. */
final class RaftMessages {
    private RaftMessages() {}

    /** Returns an address that matches any identity on {@code vm}. */
    static MemberId anyIdentityOn(String vm) {
        return MemberId.newBuilder().setVmId(vm).build();
    }

    static RaftVoteRequest voteRequest(
            MemberId candidate, long term, RaftLog log, Campaign campaign) {
        return RaftVoteRequest.newBuilder()
                .setTerm(term)
                .setCandidate(candidate)
                .setLastIndex(log.lastIndex())
                .setLastTerm(log.lastTerm())
                .setPreVote(campaign == Campaign.PRE_VOTE)
                .setLeadershipTransfer(campaign == Campaign.TRANSFER)
                .build();
    }

    static RaftLeave leave(MemberId member) {
        return RaftLeave.newBuilder().setMember(member).build();
    }

    static RaftLeaveReply leaveReply(RaftLeaveReply.Outcome outcome) {
        return RaftLeaveReply.newBuilder().setOutcome(outcome).build();
    }

    static RaftTimeoutNow timeoutNow(MemberId leader, long term) {
        return RaftTimeoutNow.newBuilder().setLeader(leader).setTerm(term).build();
    }

    static RaftAppendReply appendReply(
            MemberId member, long term, boolean success, long index, long round) {
        return RaftAppendReply.newBuilder()
                .setTerm(term)
                .setMember(member)
                .setSuccess(success)
                .setMatchIndex(index)
                .setRound(round)
                .build();
    }

    static RaftSnapshotReply snapshotReply(MemberId member, long term, long lastIndex) {
        return RaftSnapshotReply.newBuilder()
                .setTerm(term)
                .setMember(member)
                .setLastIndex(lastIndex)
                .build();
    }
}
