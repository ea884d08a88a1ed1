package org.jacinthwharf.process.membership;

import org.jacinthwharf.wire.generated.Envelope;

/** An action or notification that a {@link DomainView} hands to its caller. Immutable. */
public sealed interface ViewOutput {
    /**
     * A message to send; it may be lost.
     *
     * @param to a VM id, or {@link DomainVoters#WITNESS} for the control group's leader
     * @param envelope the message
     */
    record Send(String to, Envelope envelope) implements ViewOutput {}

    /**
     * A new view was installed; owners of backend servers may have changed.
     *
     * @param view the new view, possibly with no lease yet
     */
    record Changed(View view) implements ViewOutput {}

    /** This router's lease ended; it holds no valid lease until the next {@link LeaseGained}. */
    record LeaseLost() implements ViewOutput {}

    /**
     * This router holds a lease, for the first time or again.
     *
     * @param view the view with its lease
     */
    record LeaseGained(View view) implements ViewOutput {}
}
