package org.jacinthwharf.process.consensus;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.jacinthwharf.id.VmId;

/** The outcome of a proposal to the replicated log. Immutable. */
public sealed interface ProposeOutcome {
    /**
     * The command was committed and applied.
     *
     * @param reply the reply of the state machine
     */
    record Applied(ByteString reply) implements ProposeOutcome {}

    /**
     * The command was not appended, because this member is not the leader.
     *
     * @param leader the leader, if known
     */
    record NotLeader(Optional<VmId> leader) implements ProposeOutcome {}

    /** The command was not appended because too many proposals are pending. */
    record Overloaded() implements ProposeOutcome {}

    /** The member lost leadership; the next leader may or may not commit the command. */
    record Unknown() implements ProposeOutcome {}
}
