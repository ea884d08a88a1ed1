package org.jacinthwharf.connection;

import org.jacinthwharf.wire.generated.Envelope;

/** Receives the events of links, always on the event loop that was given to {@link Links}. */
public interface LinkListener {
    /** Called once when both sides have said hello. */
    void onUp(Link link);

    /** Called for each message but hello and heartbeat. */
    void onMessage(Link link, Envelope message);

    /** Called once after {@link #onUp} when the link is closed, for whatever reason. */
    void onDown(Link link);
}
