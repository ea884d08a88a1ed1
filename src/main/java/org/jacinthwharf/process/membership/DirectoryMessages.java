package org.jacinthwharf.process.membership;

import org.jacinthwharf.wire.generated.DirectoryAck;
import org.jacinthwharf.wire.generated.Envelope;

/** Builds messages of the server directory. Stateless and thread-safe. */
public final class DirectoryMessages {
    private DirectoryMessages() {}

    /** Returns the acknowledgement of an update. */
    public static Envelope ack(long number) {
        return Envelope.newBuilder()
                .setDirectoryAck(DirectoryAck.newBuilder().setNumber(number))
                .build();
    }
}
