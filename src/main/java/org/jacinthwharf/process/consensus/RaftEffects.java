package org.jacinthwharf.process.consensus;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.LogEntry;
import org.jacinthwharf.wire.generated.RaftSnapshot;

/**
 * The actions that a {@link RaftCore} requests from its caller.
 *
 * <p>Immutable.
 *
 * @param messages messages to send immediately
 * @param write records to write and sync; there is no other batch before the caller reports the
 *     completion with {@link RaftCore#onBatchSynced}
 * @param restore snapshot to restore the state machine from, before {@code committed}
 * @param committed entries to apply, in order
 * @param confirmedReads read barriers whose round a majority acknowledged
 */
record RaftEffects(
        ImmutableList<Outgoing> messages,
        Optional<StorageBatch> write,
        Optional<RaftSnapshot> restore,
        ImmutableList<LogEntry> committed,
        ImmutableList<ConfirmedRead> confirmedReads) {

    /** A message and the VM of its receiver. */
    record Outgoing(VmId to, Envelope envelope) {}

    /** A read that may be served after the entry at {@code index} is applied. */
    record ConfirmedRead(long id, long index) {}

    boolean isEmpty() {
        return messages.isEmpty()
                && write.isEmpty()
                && restore.isEmpty()
                && committed.isEmpty()
                && confirmedReads.isEmpty();
    }
}
