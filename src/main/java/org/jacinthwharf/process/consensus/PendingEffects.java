package org.jacinthwharf.process.consensus;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.Message;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.LogEntry;
import org.jacinthwharf.wire.generated.MemberId;
import org.jacinthwharf.wire.generated.RaftAppend;
import org.jacinthwharf.wire.generated.RaftAppendReply;
import org.jacinthwharf.wire.generated.RaftJoin;
import org.jacinthwharf.wire.generated.RaftLeave;
import org.jacinthwharf.wire.generated.RaftLeaveReply;
import org.jacinthwharf.wire.generated.RaftSnapshot;
import org.jacinthwharf.wire.generated.RaftSnapshotReply;
import org.jacinthwharf.wire.generated.RaftTimeoutNow;
import org.jacinthwharf.wire.generated.RaftVoteReply;
import org.jacinthwharf.wire.generated.RaftVoteRequest;

/**
 * Collects effects until {@link RaftCore} returns them.
 *
 * <p>Not thread-safe. Invariants: every effect is returned at most once; effects of one kind are
 * returned in the order in which they were added; a snapshot supersedes earlier snapshots and the
 * committed entries that were added before it.
 */
final class PendingEffects {
    private final List<RaftEffects.Outgoing> mMessages = new ArrayList<>();
    private final List<LogEntry> mCommitted = new ArrayList<>();
    private final List<RaftEffects.ConfirmedRead> mConfirmedReads = new ArrayList<>();
    private Optional<RaftSnapshot> mRestore = Optional.empty();

    void addMessage(MemberId to, Message payload) {
        envelope(to, payload).ifPresent(mMessages::add);
    }

    void addMessages(List<RaftEffects.Outgoing> messages) {
        mMessages.addAll(messages);
    }

    void addCommitted(LogEntry entry) {
        mCommitted.add(entry);
    }

    void addConfirmedReads(List<RaftEffects.ConfirmedRead> reads) {
        mConfirmedReads.addAll(reads);
    }

    /**
     * Requests that the state machine be restored from a snapshot, which includes the pending
     * committed entries.
     */
    void addRestore(RaftSnapshot snapshot) {
        mCommitted.clear();
        mRestore = Optional.of(snapshot);
    }

    RaftEffects take(WriteBuffer writes, HardState hardState) {
        Optional<StorageBatch> batch = writes.nextBatch(hardState, mMessages);
        RaftEffects result =
                new RaftEffects(
                        ImmutableList.copyOf(mMessages),
                        batch,
                        mRestore,
                        ImmutableList.copyOf(mCommitted),
                        ImmutableList.copyOf(mConfirmedReads));
        mMessages.clear();
        mCommitted.clear();
        mConfirmedReads.clear();
        mRestore = Optional.empty();
        return result;
    }

    /** Returns the payload in an envelope, or empty if the receiver's VM id is malformed. */
    static Optional<RaftEffects.Outgoing> envelope(MemberId to, Message payload) {
        Envelope.Builder e = Envelope.newBuilder();
        if (payload instanceof RaftAppend m) {
            e.setRaftAppend(m);
        } else if (payload instanceof RaftAppendReply m) {
            e.setRaftAppendReply(m);
        } else if (payload instanceof RaftSnapshot m) {
            e.setRaftSnapshot(m);
        } else if (payload instanceof RaftSnapshotReply m) {
            e.setRaftSnapshotReply(m);
        } else if (payload instanceof RaftVoteRequest m) {
            e.setRaftVoteRequest(m);
        } else if (payload instanceof RaftVoteReply m) {
            e.setRaftVoteReply(m);
        } else if (payload instanceof RaftLeave m) {
            e.setRaftLeave(m);
        } else if (payload instanceof RaftLeaveReply m) {
            e.setRaftLeaveReply(m);
        } else if (payload instanceof RaftTimeoutNow m) {
            e.setRaftTimeoutNow(m);
        } else {
            e.setRaftJoin((RaftJoin) payload);
        }
        return VmId.parse(to.getVmId()).map(vm -> new RaftEffects.Outgoing(vm, e.build()));
    }
}
