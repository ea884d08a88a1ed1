package org.jacinthwharf.process.control;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.TreeMap;
import org.jacinthwharf.wire.generated.ClaimEnd;
import org.jacinthwharf.wire.generated.ClaimEndReply;
import org.jacinthwharf.wire.generated.ClaimOutcome;
import org.jacinthwharf.wire.generated.ClaimRecord;
import org.jacinthwharf.wire.generated.ClaimReply;
import org.jacinthwharf.wire.generated.ClaimRequest;
import org.jacinthwharf.wire.generated.ClaimState;

/**
 * Claims without expiry: one record per customer and request key.
 *
 * <p>Not thread-safe. Invariant: a key is granted again only after a proven "not run".
 */
public final class InMemoryClaims implements Claims {
    private final TreeMap<String, ClaimRecord> mRecords = new TreeMap<>();

    @Override
    public ClaimReply claim(ClaimRequest request, long nowMillis) {
        String key = key(request.getCustomer(), request.getRequestKey());
        ClaimRecord known = mRecords.get(key);
        if (known == null || mayClaimAgain(known, request)) {
            int attempt = known == null ? 1 : known.getAttempt() + 1;
            ClaimRecord granted =
                    ClaimRecord.newBuilder()
                            .setClaimId(request.getClaimId())
                            .setCustomer(request.getCustomer())
                            .setRequestKey(request.getRequestKey())
                            .setBodyHash(request.getBodyHash())
                            .setRouter(request.getRouter())
                            .setRouterIncarnation(request.getRouterIncarnation())
                            .setAttempt(attempt)
                            .setState(ClaimState.CLAIM_STATE_CLAIMED)
                            .setDeadlineMillis(nowMillis + request.getTimeoutMillis())
                            .build();
            mRecords.put(key, granted);
            return reply(request, ClaimOutcome.CLAIM_GRANTED, granted);
        }
        return reply(request, outcome(known, request, nowMillis), known);
    }

    private static boolean mayClaimAgain(ClaimRecord known, ClaimRequest request) {
        return known.getState() == ClaimState.CLAIM_STATE_NOT_RUN
                && !known.getClaimId().equals(request.getClaimId());
    }

    private static ClaimOutcome outcome(ClaimRecord known, ClaimRequest request, long nowMillis) {
        if (!known.getBodyHash().equals(request.getBodyHash())) {
            return ClaimOutcome.CLAIM_KEY_REUSED;
        }
        if (known.getState() == ClaimState.CLAIM_STATE_DONE) {
            return ClaimOutcome.CLAIM_DONE;
        }
        if (known.getClaimId().equals(request.getClaimId())) {
            return ClaimOutcome.CLAIM_GRANTED;
        }
        boolean open = known.getState() == ClaimState.CLAIM_STATE_CLAIMED;
        return open && nowMillis < known.getDeadlineMillis()
                ? ClaimOutcome.CLAIM_IN_PROGRESS
                : ClaimOutcome.CLAIM_UNKNOWN;
    }

    private static ClaimReply reply(ClaimRequest request, ClaimOutcome outcome, ClaimRecord r) {
        ClaimReply.Builder reply =
                ClaimReply.newBuilder()
                        .setClaimId(request.getClaimId())
                        .setOutcome(outcome)
                        .setAttempt(r.getAttempt());
        if (outcome == ClaimOutcome.CLAIM_DONE) {
            reply.setAnswer(r.getAnswer());
        }
        return reply.build();
    }

    @Override
    public ClaimEndReply end(ClaimEnd end, long nowMillis) {
        ClaimRecord known = mRecords.get(key(end.getCustomer(), end.getRequestKey()));
        boolean holder = known != null && known.getClaimId().equals(end.getClaimId());
        if (holder && known.getState() == ClaimState.CLAIM_STATE_CLAIMED) {
            mRecords.put(
                    key(end.getCustomer(), end.getRequestKey()),
                    known.toBuilder().setState(state(end)).setAnswer(end.getAnswer()).build());
        }
        return ClaimEndReply.newBuilder().setClaimId(end.getClaimId()).setCommitted(holder).build();
    }

    private static ClaimState state(ClaimEnd end) {
        return switch (end.getState()) {
            case CLAIM_END_DONE -> ClaimState.CLAIM_STATE_DONE;
            case CLAIM_END_NOT_RUN -> ClaimState.CLAIM_STATE_NOT_RUN;
            default -> ClaimState.CLAIM_STATE_UNKNOWN;
        };
    }

    // Ids contain no slash, so customer and key cannot run into each other.
    private static String key(String customer, String requestKey) {
        return customer + "/" + requestKey;
    }

    @Override
    public List<ClaimRecord> records() {
        return ImmutableList.copyOf(mRecords.values());
    }

    @Override
    public void restore(List<ClaimRecord> records) {
        mRecords.clear();
        records.forEach(r -> mRecords.put(key(r.getCustomer(), r.getRequestKey()), r));
    }
}
