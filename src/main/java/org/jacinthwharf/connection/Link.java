package org.jacinthwharf.connection;

import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.Hello;

/**
 * A connection to another process of the fleet, after both sides have exchanged {@link Hello}.
 *
 * <p>Thread-safe. Messages on one link arrive in the order they were sent, or the link closes. A
 * link that has received nothing for {@link Links#SILENCE_LIMIT} closes itself.
 */
public interface Link {
    /** Returns the other process's description of itself. */
    Hello peer();

    /**
     * Sends a message.
     *
     * @return false if the message was dropped because the link is closed or its send buffer is
     *     full; true does not guarantee its arrival
     */
    boolean send(Envelope message);

    /** Closes the link; the listener is notified once. */
    void close();
}
