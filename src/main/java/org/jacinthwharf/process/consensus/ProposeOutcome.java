package org.jacinthwharf.process.consensus;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.jacinthwharf.id.VmId;

/** How a proposal to the replicated log ended. Immutable. */
public sealed interface ProposeOutcome {
    /**
     * The command is committed and applied.
     *
     * @param reply what the state machine returned
     */
    record Applied(ByteString reply) implements ProposeOutcome {}

    /**
     * The command was not appended, since this member does not lead.
     *
     * @param leader the leader, if this member knows one
     */
    record NotLeader(Optional<VmId> leader) implements ProposeOutcome {}

    /** The command was not appended, since too many proposals wait for their commit. */
    record Overloaded() implements ProposeOutcome {}

    /** The member lost leadership; the command may be committed by the next leader, or not. */
    record Unknown() implements ProposeOutcome {}
}
