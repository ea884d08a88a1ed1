package org.jacinthwharf.connection;

import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.Hello;

/**
 * One connection to another process of the fleet, after both sides have said hello.
 *
 * <p>Thread-safe. Messages on one link arrive in the order they were sent, or the link closes. A
 * link that carried nothing for {@link Links#SILENCE_LIMIT} closes by itself.
 */
public interface Link {
    /** Returns what the other process said about itself. */
    Hello peer();

    /**
     * Sends a message.
     *
     * @return false if the message was dropped because the link is closed or its send buffer is
     *     full; true says nothing about its arrival
     */
    boolean send(Envelope message);

    /** Closes the link; the listener hears of it once. */
    void close();
}
