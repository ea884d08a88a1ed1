package org.jacinthwharf.process.consensus;

import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Envelope;

/**
 * Sends messages to the other members.
 *
 * <p>Called on the event loop only. Messages may be lost, delayed, duplicated and reordered.
 */
@FunctionalInterface
public interface RaftTransport {
    /** Sends {@code envelope} to the control process on {@code to}, or drops it. */
    void send(VmId to, Envelope envelope);
}
