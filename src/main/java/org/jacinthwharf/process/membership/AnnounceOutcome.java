package org.jacinthwharf.process.membership;

import com.google.common.collect.ImmutableList;

/** The result of an announcement. Immutable. */
public sealed interface AnnounceOutcome {
    /**
     * The announcement was accepted.
     *
     * @param events the resulting changes, in order
     */
    record Accepted(ImmutableList<RegistryEvent> events) implements AnnounceOutcome {}

    /** The announcement is older than the last accepted one or a duplicate; nothing changed. */
    record Stale() implements AnnounceOutcome {}

    /**
     * The announcement is malformed or for another failure domain; nothing changed.
     *
     * @param reason the field and its value, sent in the answer to the server
     */
    record Refused(String reason) implements AnnounceOutcome {}
}
