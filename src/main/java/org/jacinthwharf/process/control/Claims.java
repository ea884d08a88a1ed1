package org.jacinthwharf.process.control;

import java.util.List;
import org.jacinthwharf.wire.generated.ClaimEnd;
import org.jacinthwharf.wire.generated.ClaimEndReply;
import org.jacinthwharf.wire.generated.ClaimRecord;
import org.jacinthwharf.wire.generated.ClaimReply;
import org.jacinthwharf.wire.generated.ClaimRequest;

/**
 * The claims of request keys that are part of the replicated state.
 *
 * <p>Called on the event loop only. Implementations are deterministic, and a repeated claim id gets
 * the same reply as the first claim with that id.
 */
public interface Claims {
    /** Decides a claim at the given wall-clock time. */
    ClaimReply claim(ClaimRequest request, long nowMillis);

    /** Records the end of a claim. */
    ClaimEndReply end(ClaimEnd end, long nowMillis);

    /** Returns all records, in an order that depends on the state only. */
    List<ClaimRecord> records();

    /** Replaces all records. */
    void restore(List<ClaimRecord> records);
}
