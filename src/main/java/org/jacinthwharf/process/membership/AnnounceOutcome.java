package org.jacinthwharf.process.membership;

import com.google.common.collect.ImmutableList;

/** What became of an announcement. Immutable. */
public sealed interface AnnounceOutcome {
    /**
     * The registry took it over.
     *
     * @param events changes, in order
     */
    record Accepted(ImmutableList<RegistryEvent> events) implements AnnounceOutcome {}

    /** It is older than what is known, or repeated; nothing changed. */
    record Stale() implements AnnounceOutcome {}

    /**
     * It is malformed or for another failure domain; nothing changed.
     *
     * @param reason the field and its value, for the answer to the server
     */
    record Refused(String reason) implements AnnounceOutcome {}
}
