package org.jacinthwharf.process.consensus;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.jacinthwharf.wire.generated.LogEntry;
import org.jacinthwharf.wire.generated.RaftSnapshot;

/**
 * Records that are written and synced together.
 *
 * <p>Immutable. An entry replaces all stored entries from its index on.
 *
 * @param hardState the hard state, present if it changed or if a snapshot is present
 * @param entries entries to append; with a snapshot, all entries after it
 * @param snapshot replaces the stored snapshot and all entries up to its index
 */
record StorageBatch(
        Optional<HardState> hardState,
        ImmutableList<LogEntry> entries,
        Optional<RaftSnapshot> snapshot) {}
