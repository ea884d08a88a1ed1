package org.jacinthwharf.connection;

import org.jacinthwharf.wire.generated.Envelope;

/** Receives the events of links, always on the event loop passed to {@link Links}. */
public interface LinkListener {
    /** Called once, when both sides have exchanged their hello. */
    void onUp(Link link);

    /** Called for each message except hello and heartbeat. */
    void onMessage(Link link, Envelope message);

    /**
     * Returns whether an exception in {@link #onMessage} concerns the message alone: the link is
     * closed then, since what the message said is sent again with the next one. Otherwise the
     * exception stops the process, since the state that the message changes cannot be trusted.
     */
    default boolean isContained(Envelope message) {
        return false;
    }

    /** Called once after {@link #onUp}, when the link has closed for any reason. */
    void onDown(Link link);
}
