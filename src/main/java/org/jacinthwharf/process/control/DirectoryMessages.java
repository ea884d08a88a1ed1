package org.jacinthwharf.process.control;

import org.jacinthwharf.wire.generated.DirectoryAck;
import org.jacinthwharf.wire.generated.Envelope;

/** Builds messages about backend servers. Stateless and thread-safe. */
final class DirectoryMessages {
    private DirectoryMessages() {}

    static Envelope ack(long number) {
        return Envelope.newBuilder()
                .setDirectoryAck(DirectoryAck.newBuilder().setNumber(number))
                .build();
    }
}
