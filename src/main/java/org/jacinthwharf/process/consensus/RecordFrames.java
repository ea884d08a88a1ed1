package org.jacinthwharf.process.consensus;

import com.google.common.collect.ImmutableList;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Frames records with a magic number, their length and a CRC32C.
 *
 * <p>Stateless and thread-safe. Each record is written in one call and synced before the next one,
 * so only the last record can be torn; a damaged record before a valid one was damaged after its
 * sync.
 */
final class RecordFrames {
    private static final int MAGIC = 0x4A57_5246;
    private static final int HEADER_BYTES = 12;

    private RecordFrames() {}

    /**
     * The content of a file.
     *
     * @param records valid records before the first damaged one
     * @param validLength length of these records with their frames, in bytes
     * @param damaged whether bytes follow that are not a valid record
     * @param validRecordAfterDamage whether a valid record follows the damage
     */
    record Content(
            ImmutableList<byte[]> records,
            int validLength,
            boolean damaged,
            boolean validRecordAfterDamage) {}

    static byte[] frame(byte[] record) {
        return ByteBuffer.allocate(HEADER_BYTES + record.length)
                .putInt(MAGIC)
                .putInt(record.length)
                .putInt(checksum(record))
                .put(record)
                .array();
    }

    /** Reads a file in one pass, and makes a second one over the bytes after the first damage. */
    static Content read(byte[] file) {
        ImmutableList.Builder<byte[]> records = ImmutableList.builder();
        int at = 0;
        while (at < file.length) {
            Optional<byte[]> record = recordAt(file, at);
            if (record.isEmpty()) {
                return new Content(records.build(), at, true, hasRecordAfter(file, at + 1));
            }
            records.add(record.get());
            at += HEADER_BYTES + record.get().length;
        }
        return new Content(records.build(), at, false, false);
    }

    private static boolean hasRecordAfter(byte[] file, int from) {
        for (int i = from; i < file.length; i++) {
            if (recordAt(file, i).isPresent()) {
                return true;
            }
        }
        return false;
    }

    private static Optional<byte[]> recordAt(byte[] file, int at) {
        if (file.length - at < HEADER_BYTES) {
            return Optional.empty();
        }
        ByteBuffer b = ByteBuffer.wrap(file, at, file.length - at);
        int magic = b.getInt();
        int length = b.getInt();
        int checksum = b.getInt();
        if (magic != MAGIC || length < 0 || length > b.remaining()) {
            return Optional.empty();
        }
        byte[] record = new byte[length];
        b.get(record);
        return checksum(record) == checksum ? Optional.of(record) : Optional.empty();
    }

    // The checksum covers the length, so that a damaged length is detected.
    private static int checksum(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(record.length).flip());
        crc.update(record);
        return (int) crc.getValue();
    }
}
