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
 * <p>Not thread-safe. Invariant: a key is granted again only after its claim ended as "not run".
 */
public final class InMemoryClaims implements Claims {
    private final TreeMap<String, ClaimRecord> mRecords = new TreeMap<>();

    @Override
    public ClaimReply claim(ClaimRequest request, long nowMillis) {
        String key = key(request.getCustomer(), request.getRequestKey());
        ClaimRecord existing = mRecords.get(key);
        if (existing == null || mayReclaim(existing, request)) {
            int attempt = existing == null ? 1 : existing.getAttempt() + 1;
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
        return reply(request, outcomeFor(existing, request, nowMillis), existing);
    }

    private static boolean mayReclaim(ClaimRecord existing, ClaimRequest request) {
        return existing.getState() == ClaimState.CLAIM_STATE_NOT_RUN
                && !existing.getClaimId().equals(request.getClaimId());
    }

    private static ClaimOutcome outcomeFor(
            ClaimRecord existing, ClaimRequest request, long nowMillis) {
        if (!existing.getBodyHash().equals(request.getBodyHash())) {
            return ClaimOutcome.CLAIM_KEY_REUSED;
        }
        if (existing.getState() == ClaimState.CLAIM_STATE_DONE) {
            return ClaimOutcome.CLAIM_DONE;
        }
        if (existing.getClaimId().equals(request.getClaimId())) {
            return ClaimOutcome.CLAIM_GRANTED;
        }
        boolean open = existing.getState() == ClaimState.CLAIM_STATE_CLAIMED;
        return open && nowMillis < existing.getDeadlineMillis()
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
        ClaimRecord existing = mRecords.get(key(end.getCustomer(), end.getRequestKey()));
        boolean ownsClaim = existing != null && existing.getClaimId().equals(end.getClaimId());
        if (ownsClaim && existing.getState() == ClaimState.CLAIM_STATE_CLAIMED) {
            mRecords.put(
                    key(end.getCustomer(), end.getRequestKey()),
                    existing.toBuilder()
                            .setState(endState(end))
                            .setAnswer(end.getAnswer())
                            .build());
        }
        return ClaimEndReply.newBuilder()
                .setClaimId(end.getClaimId())
                .setCommitted(ownsClaim)
                .build();
    }

    private static ClaimState endState(ClaimEnd end) {
        return switch (end.getState()) {
            case CLAIM_END_DONE -> ClaimState.CLAIM_STATE_DONE;
            case CLAIM_END_NOT_RUN -> ClaimState.CLAIM_STATE_NOT_RUN;
            default -> ClaimState.CLAIM_STATE_UNKNOWN;
        };
    }

    // Ids contain no slash, so the combination of customer and key is unambiguous.
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
