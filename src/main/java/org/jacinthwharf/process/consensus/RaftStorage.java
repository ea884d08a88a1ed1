package org.jacinthwharf.process.consensus;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.LogEntry;
import org.jacinthwharf.wire.generated.MemberId;
import org.jacinthwharf.wire.generated.RaftSnapshot;

/**
 * The identity, hard state, log and snapshot of a member in its data folder.
 *
 * <p>Not thread-safe; {@link #write} is called by one thread at a time. Invariants: when {@link
 * #write} returns, the batch survives a power loss; at any time the folder holds the content either
 * before or after a batch; the last batch may be torn only if {@link #write} did not return.
 *
 * <p>Files: {@code identity}, {@code snapshot}, and {@code log}, which holds the hard state and
 * entries as one record per batch. An entry in the log replaces all earlier ones from its index on.
 * The log is created first and the identity last, so a folder with an identity but no log has lost
 * its hard state and is refused. A damaged last record of the log is treated as a torn write;
 * damage to a synced last record cannot be distinguished from one.
 */
public final class RaftStorage implements AutoCloseable {
    private static final String IDENTITY = "identity";
    private static final String LOG = "log";
    private static final String SNAPSHOT = "snapshot";
    private static final String TEMPORARY_SUFFIX = ".tmp";

    private static final byte[] INITIAL_LOG =
            RecordFrames.frame(
                    BatchCodec.encode(
                            new StorageBatch(
                                    Optional.empty(), ImmutableList.of(), Optional.empty())));

    private final DataFolder mFolder;
    private final MemberId mIdentity;
    private final Recovered mRecovered;

    /** The state read when the storage was opened. */
    record Recovered(HardState hardState, RaftSnapshot snapshot, List<LogEntry> entries) {}

    private RaftStorage(DataFolder folder, MemberId identity, Recovered recovered) {
        mFolder = folder;
        mIdentity = identity;
        mRecovered = recovered;
    }

    /**
     * Locks and reads the data folder of the member on {@code vm}; creates it if needed.
     *
     * @param diskIds supplies a unique disk id for a new folder
     */
    public static StorageOpenResult open(Path path, VmId vm, Supplier<String> diskIds) {
        try {
            Optional<FileDataFolder> folder = FileDataFolder.open(path);
            if (folder.isEmpty()) {
                return new StorageOpenResult.Refused(
                        StorageOpenResult.Reason.LOCKED,
                        path + " is held by another process; stop that process first");
            }
            StorageOpenResult result = open(folder.get(), vm, diskIds);
            if (result instanceof StorageOpenResult.Refused) {
                folder.get().close();
            }
            return result;
        } catch (IOException e) {
            return ioError(e);
        }
    }

    static StorageOpenResult open(DataFolder folder, VmId vm, Supplier<String> diskIds) {
        try {
            Optional<byte[]> identity = folder.read(IDENTITY);
            if (identity.isEmpty()) {
                return create(folder, vm, diskIds);
            }
            RecordFrames.Content content = RecordFrames.read(identity.get());
            if (content.damaged() || content.records().size() != 1) {
                return corrupt("file identity is damaged");
            }
            MemberId member = MemberId.parseFrom(content.records().get(0));
            if (!member.getVmId().equals(vm.value())) {
                return new StorageOpenResult.Refused(
                        StorageOpenResult.Reason.OTHER_VM,
                        "the data folder belongs to " + member.getVmId() + ", not to " + vm);
            }
            return recover(folder, member);
        } catch (InvalidProtocolBufferException e) {
            return corrupt("a record with a valid checksum cannot be read: " + e.getMessage());
        } catch (IOException e) {
            return ioError(e);
        }
    }

    /** Returns the member's VM id and disk id. */
    public MemberId identity() {
        return mIdentity;
    }

    Recovered recovered() {
        return mRecovered;
    }

    /**
     * Writes and syncs a batch. After an exception, the end of the stored log is unknown, so the
     * next batch must have a snapshot, with which both files are replaced.
     */
    void write(StorageBatch batch) throws IOException {
        byte[] record = RecordFrames.frame(BatchCodec.encode(batch));
        if (batch.snapshot().isEmpty()) {
            mFolder.append(LOG, record);
            mFolder.sync(LOG);
            return;
        }
        byte[] snapshot = batch.snapshot().get().toByteArray();
        replace(mFolder, SNAPSHOT, RecordFrames.frame(snapshot));
        replace(mFolder, LOG, record);
    }

    /** Closes the files and releases the lock. */
    @Override
    public void close() throws IOException {
        mFolder.close();
    }

    private static StorageOpenResult create(DataFolder folder, VmId vm, Supplier<String> diskIds)
            throws IOException {
        boolean used =
                folder.read(SNAPSHOT).isPresent()
                        || folder.read(LOG).filter(b -> !Arrays.equals(b, INITIAL_LOG)).isPresent();
        if (used) {
            return corrupt("file identity is missing");
        }
        MemberId member =
                MemberId.newBuilder().setVmId(vm.value()).setDiskId(diskIds.get()).build();
        replace(folder, LOG, INITIAL_LOG);
        replace(folder, IDENTITY, RecordFrames.frame(member.toByteArray()));
        return recover(folder, member);
    }

    private static StorageOpenResult recover(DataFolder folder, MemberId member)
            throws IOException {
        RaftSnapshot snapshot = RaftSnapshot.getDefaultInstance();
        Optional<byte[]> snapshotFile = folder.read(SNAPSHOT);
        if (snapshotFile.isPresent()) {
            RecordFrames.Content content = RecordFrames.read(snapshotFile.get());
            if (content.damaged() || content.records().size() != 1) {
                return corrupt("file snapshot is damaged");
            }
            snapshot = RaftSnapshot.parseFrom(content.records().get(0));
        }
        Optional<byte[]> logFile = folder.read(LOG);
        if (logFile.isEmpty()) {
            return corrupt("file log is missing");
        }
        RecordFrames.Content log = RecordFrames.read(logFile.get());
        // The first record was synced before the rename, so it cannot be torn.
        if (log.validRecordAfterDamage() || log.records().isEmpty()) {
            return corrupt("file log is damaged at byte " + log.validLength() + ", before its end");
        }
        HardState hardState = HardState.NONE;
        List<LogEntry> entries = new ArrayList<>();
        for (byte[] record : log.records()) {
            BatchCodec.Decoded batch = BatchCodec.decode(record);
            hardState = batch.hardState().orElse(hardState);
            for (LogEntry e : batch.entries()) {
                while (!entries.isEmpty() && lastIndex(entries) >= e.getIndex()) {
                    entries.remove(entries.size() - 1);
                }
                entries.add(e);
            }
        }
        Optional<List<LogEntry>> remaining = entriesAfter(snapshot, entries);
        if (remaining.isEmpty()) {
            return corrupt("file log does not continue the snapshot");
        }
        if (hardState.term() < snapshot.getLastTerm()) {
            // The process stopped after it replaced the snapshot and before it replaced the log.
            hardState = hardState.withTerm(snapshot.getLastTerm());
        }
        if (log.damaged()) {
            folder.truncate(LOG, log.validLength());
            folder.sync(LOG);
        }
        return new StorageOpenResult.Opened(
                new RaftStorage(
                        folder, member, new Recovered(hardState, snapshot, remaining.get())));
    }

    private static long lastIndex(List<LogEntry> entries) {
        return entries.get(entries.size() - 1).getIndex();
    }

    /**
     * Returns the entries after the snapshot, or empty if entries are missing.
     *
     * <p>A stop between the replacement of the snapshot and of the log leaves older entries. As
     * when a snapshot is installed, entries after it are kept only if the log holds its last entry.
     */
    private static Optional<List<LogEntry>> entriesAfter(
            RaftSnapshot snapshot, List<LogEntry> entries) {
        long last = snapshot.getLastIndex();
        for (int i = 1; i < entries.size(); i++) {
            if (entries.get(i).getIndex() != entries.get(i - 1).getIndex() + 1) {
                return Optional.empty();
            }
        }
        if (entries.isEmpty() || entries.get(0).getIndex() == last + 1) {
            return Optional.of(entries);
        }
        if (entries.get(0).getIndex() > last + 1) {
            return Optional.empty();
        }
        boolean continues =
                entries.stream()
                        .anyMatch(
                                e -> e.getIndex() == last && e.getTerm() == snapshot.getLastTerm());
        return Optional.of(
                continues ? entries.stream().filter(e -> e.getIndex() > last).toList() : List.of());
    }

    private static void replace(DataFolder folder, String name, byte[] content) throws IOException {
        folder.write(name + TEMPORARY_SUFFIX, content);
        folder.sync(name + TEMPORARY_SUFFIX);
        folder.rename(name + TEMPORARY_SUFFIX, name);
        folder.syncFolder();
    }

    private static StorageOpenResult corrupt(String found) {
        return new StorageOpenResult.Refused(
                StorageOpenResult.Reason.CORRUPT,
                found
                        + "; move the data folder away and start with an empty one: the member"
                        + " joins its group under a new identity");
    }

    private static StorageOpenResult ioError(IOException e) {
        return new StorageOpenResult.Refused(StorageOpenResult.Reason.IO_ERROR, e.toString());
    }
}
