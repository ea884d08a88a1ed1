package org.jacinthwharf.process.consensus;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;

/**
 * The replicated log as the rest of the control process sees it.
 *
 * <p>Called on the event loop only; futures complete on it.
 */
public interface ReplicatedLog {
    /** Appends a command; completes when its outcome is known. */
    CompletableFuture<ProposeOutcome> propose(ByteString command);

    /**
     * Confirms with a majority that this member still leads.
     *
     * @return completes with true if all that was committed before the call is applied here, with
     *     false if this member does not lead
     */
    CompletableFuture<Boolean> confirmLeadership();

    /** Returns what this member knows of the group. */
    LogStatus status();
}
