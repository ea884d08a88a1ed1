package org.jacinthwharf.process.assembly;

import java.util.List;
import org.jacinthwharf.process.control.Claims;
import org.jacinthwharf.request.outcome.ClaimTable;
import org.jacinthwharf.wire.generated.ClaimEnd;
import org.jacinthwharf.wire.generated.ClaimEndReply;
import org.jacinthwharf.wire.generated.ClaimRecord;
import org.jacinthwharf.wire.generated.ClaimReply;
import org.jacinthwharf.wire.generated.ClaimRequest;

/** Adapts a {@link ClaimTable} to the control state machine. Used on the event loop only. */
final class ReplicatedClaims implements Claims {
    private final ClaimTable mTable = new ClaimTable();

    @Override
    public ClaimReply claim(ClaimRequest request, long nowMillis) {
        return mTable.claim(request, nowMillis);
    }

    @Override
    public ClaimEndReply end(ClaimEnd end, long nowMillis) {
        return mTable.end(end, nowMillis);
    }

    @Override
    public List<ClaimRecord> records() {
        return mTable.records();
    }

    @Override
    public void restore(List<ClaimRecord> records) {
        mTable.restore(records);
    }
}
