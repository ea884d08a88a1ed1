package org.jacinthwharf.process.consensus;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;

/**
 * A replicated log of commands.
 *
 * <p>Called on the event loop only; futures complete on it.
 */
public interface ReplicatedLog {
    /** Appends a command; completes when its outcome is known. */
    CompletableFuture<ProposeOutcome> propose(ByteString command);

    /**
     * Confirms with a majority that this member is still the leader.
     *
     * @return completes with true once all entries committed before the call are applied here, with
     *     false if this member is not the leader
     */
    CompletableFuture<Boolean> confirmLeadership();

    /** Returns the status of this member and its view of the group. */
    RaftStatus status();
}
