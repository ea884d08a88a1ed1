package org.jacinthwharf.process.consensus;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jacinthwharf.wire.generated.LogEntry;
import org.jacinthwharf.wire.generated.MemberId;

/** Encodes the hard state and entries of a batch as one log record. Stateless and thread-safe. */
final class BatchCodec {
    private BatchCodec() {}

    /** The content of one log record. */
    record Decoded(Optional<HardState> hardState, List<LogEntry> entries) {}

    static byte[] encode(StorageBatch batch) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        try {
            out.writeBoolNoTag(batch.hardState().isPresent());
            if (batch.hardState().isPresent()) {
                HardState s = batch.hardState().get();
                out.writeUInt64NoTag(s.term());
                // An absent member is stored as one without a VM id.
                out.writeMessageNoTag(s.vote().orElse(MemberId.getDefaultInstance()));
                out.writeMessageNoTag(s.founder().orElse(MemberId.getDefaultInstance()));
            }
            out.writeUInt32NoTag(batch.entries().size());
            for (LogEntry e : batch.entries()) {
                out.writeMessageNoTag(e);
            }
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("write to memory failed", e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a record.
     *
     * @throws IOException if the record is not a batch
     */
    static Decoded decode(byte[] record) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(record);
        Optional<HardState> hardState = Optional.empty();
        if (in.readBool()) {
            hardState = Optional.of(new HardState(in.readUInt64(), readMember(in), readMember(in)));
        }
        int count = in.readUInt32();
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(LogEntry.parseFrom(in.readByteArray()));
        }
        return new Decoded(hardState, entries);
    }

    private static Optional<MemberId> readMember(CodedInputStream in) throws IOException {
        MemberId m = MemberId.parseFrom(in.readByteArray());
        return m.getVmId().isEmpty() ? Optional.empty() : Optional.of(m);
    }
}
