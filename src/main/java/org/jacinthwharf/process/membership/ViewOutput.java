package org.jacinthwharf.process.membership;

import org.jacinthwharf.wire.generated.Envelope;

/** What a {@link DomainView} asks its process to do. Immutable. */
public sealed interface ViewOutput {
    /**
     * Send a message; it may be lost.
     *
     * @param to a VM id, or {@link DomainVoters#WITNESS} for the control group's leader
     * @param envelope the message
     */
    record Send(String to, Envelope envelope) implements ViewOutput {}

    /**
     * A new view is installed; owners of backend servers may have changed.
     *
     * @param view the new view, possibly with no lease yet
     */
    record Changed(View view) implements ViewOutput {}

    /** This router's lease lapsed; it has no valid view until the next {@link Regained}. */
    record Standalone() implements ViewOutput {}

    /**
     * This router holds a lease again.
     *
     * @param view the view with its lease
     */
    record Regained(View view) implements ViewOutput {}
}
