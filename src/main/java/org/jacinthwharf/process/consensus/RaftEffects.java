package org.jacinthwharf.process.consensus;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.LogEntry;
import org.jacinthwharf.wire.generated.RaftSnapshot;

/**
 * What the decisions ask their driver to do.
 *
 * <p>Immutable.
 *
 * @param messages messages to send at once
 * @param write records to write; the driver reports the end with {@code storageDone}, and gets no
 *     other batch before that
 * @param restore snapshot that replaces the state machine's state, before {@code committed}
 * @param committed entries to apply, in order
 * @param confirmedReads read barriers whose round a majority acknowledged
 */
record RaftEffects(
        ImmutableList<Outgoing> messages,
        Optional<StorageBatch> write,
        Optional<RaftSnapshot> restore,
        ImmutableList<LogEntry> committed,
        ImmutableList<ConfirmedRead> confirmedReads) {

    /** A message and the VM that it goes to. */
    record Outgoing(VmId to, Envelope envelope) {}

    /** A read may be served when the entry at {@code index} is applied. */
    record ConfirmedRead(long id, long index) {}

    boolean isEmpty() {
        return messages.isEmpty()
                && write.isEmpty()
                && restore.isEmpty()
                && committed.isEmpty()
                && confirmedReads.isEmpty();
    }
}
