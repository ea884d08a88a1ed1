package org.jacinthwharf.request.outcome;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jacinthwharf.wire.generated.ClaimEnd;
import org.jacinthwharf.wire.generated.ClaimEndReply;
import org.jacinthwharf.wire.generated.ClaimEndState;
import org.jacinthwharf.wire.generated.ClaimOutcome;
import org.jacinthwharf.wire.generated.ClaimRecord;
import org.jacinthwharf.wire.generated.ClaimReply;
import org.jacinthwharf.wire.generated.ClaimRequest;
import org.jacinthwharf.wire.generated.ClaimState;
import org.jacinthwharf.wire.generated.StoredAnswer;

/**
 * The claims of request keys, as the control group's state machine holds them on every member.
 *
 * <p>Invariants: while a record exists, its key is granted again only after the holder of the
 * latest grant reported NOT_RUN; a record leaves the table only by expiry. The state depends only
 * on the commands and their times, and all of it is in {@link #records}, so a restored member gives
 * the same replies as the others. Malformed commands are refused and never throw, since a throw
 * would stop every member.
 *
 * <p>Memory: at most {@code maxRecords} records and {@code maxAnswerBytes} of answers. A new key is
 * refused as unavailable when the table is full or when its customer holds a quarter of it; records
 * are never evicted early, because that would allow a second execution. When the answers exceed
 * their bound, the oldest ones become "done, answer not kept".
 *
 * <p>Not thread-safe; used on the event loop. Each call costs amortised constant time.
 */
public final class ClaimTable {
    /** Time from the last report about a claim until its record is dropped. */
    public static final long RETENTION_MILLIS = 24 * 60 * 60 * 1000L;

    /** Longest timeout of a claim; far below the retention, so no holder outlives its record. */
    public static final long MAX_TIMEOUT_MILLIS = 60 * 60 * 1000L;

    private static final int DEFAULT_MAX_RECORDS = 200_000;
    private static final long DEFAULT_MAX_ANSWER_BYTES = 64L << 20;
    private static final int CUSTOMER_SHARE = 4;

    private final int mMaxRecords;
    private final long mMaxAnswerBytes;

    /** Ordered by the last report about the record; the order is part of the state. */
    private final Map<ClaimKey, ClaimRecord> mRecords = new LinkedHashMap<>();

    /** Keys whose answer is kept, in the order of {@link #mRecords}. */
    private final Set<ClaimKey> mKept = new LinkedHashSet<>();

    private final Map<String, Integer> mPerCustomer = new HashMap<>();
    private long mAnswerBytes;

    /** Creates an empty table with the default bounds. */
    public ClaimTable() {
        this(DEFAULT_MAX_RECORDS, DEFAULT_MAX_ANSWER_BYTES);
    }

    /**
     * Creates an empty table; all members must use the same bounds.
     *
     * @throws IllegalArgumentException if a bound is not positive
     */
    public ClaimTable(int maxRecords, long maxAnswerBytes) {
        checkArgument(maxRecords > 0, "maxRecords not positive: %s", maxRecords);
        checkArgument(maxAnswerBytes > 0, "maxAnswerBytes not positive: %s", maxAnswerBytes);
        mMaxRecords = maxRecords;
        mMaxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Applies a claim and returns whether its router may send.
     *
     * <p>The holder's claim id gets the same grant again. Other claims are not remembered, so a
     * waiting router may repeat its claim until the holder has ended.
     */
    public ClaimReply claim(ClaimRequest request, long nowMillis) {
        dropExpired(nowMillis);
        if (!isWellFormed(request)) {
            return reply(request, ClaimOutcome.CLAIM_UNAVAILABLE).build();
        }
        ClaimKey key = new ClaimKey(request.getCustomer(), request.getRequestKey());
        ClaimRecord record = current(key, nowMillis);
        if (record == null) {
            return isFull(request.getCustomer())
                    ? reply(request, ClaimOutcome.CLAIM_UNAVAILABLE).build()
                    : grant(key, request, 1, nowMillis);
        }
        if (!record.getBodyHash().equals(request.getBodyHash())) {
            return reply(request, ClaimOutcome.CLAIM_KEY_REUSED).build();
        }
        if (isHolder(record, request)) {
            return reply(request, ClaimOutcome.CLAIM_GRANTED)
                    .setAttempt(record.getAttempt())
                    .build();
        }
        return switch (record.getState()) {
            case CLAIM_STATE_NOT_RUN -> grant(key, request, record.getAttempt() + 1, nowMillis);
            case CLAIM_STATE_DONE ->
                    reply(request, ClaimOutcome.CLAIM_DONE)
                            .setAnswer(record.getAnswer())
                            .setAttempt(record.getAttempt())
                            .build();
            case CLAIM_STATE_CLAIMED ->
                    reply(request, ClaimOutcome.CLAIM_IN_PROGRESS)
                            .setAttempt(record.getAttempt())
                            .build();
            default ->
                    reply(request, ClaimOutcome.CLAIM_UNKNOWN)
                            .setAttempt(record.getAttempt())
                            .build();
        };
    }

    /**
     * Applies the holder's report of how its call ended.
     *
     * <p>The reply is committed if the record now has the reported state; a repeated report is
     * committed and changes nothing. A report that contradicts DONE or NOT_RUN, or that comes from
     * another claim than the latest granted one, is not committed.
     */
    public ClaimEndReply end(ClaimEnd end, long nowMillis) {
        dropExpired(nowMillis);
        ClaimKey key = new ClaimKey(end.getCustomer(), end.getRequestKey());
        ClaimRecord record = current(key, nowMillis);
        ClaimState state = stateAfter(end.getState());
        boolean committed = false;
        if (record != null && record.getClaimId().equals(end.getClaimId())) {
            if (record.getState() == state) {
                committed = true;
            } else if (mayBecome(record.getState(), state)) {
                committed = true;
                ClaimRecord.Builder ended =
                        record.toBuilder()
                                .setState(state)
                                .setExpiresMillis(nowMillis + RETENTION_MILLIS);
                if (state == ClaimState.CLAIM_STATE_DONE) {
                    ended.setAnswer(StoredAnswers.limited(end.getAnswer()));
                }
                putLast(key, ended.build());
            }
        }
        return ClaimEndReply.newBuilder()
                .setClaimId(end.getClaimId())
                .setCommitted(committed)
                .build();
    }

    /** Returns all records in the order that {@link #restore} needs. Costs linear time. */
    public List<ClaimRecord> records() {
        return new ArrayList<>(mRecords.values());
    }

    /** Replaces all records by those that {@link #records} returned on some member. */
    public void restore(List<ClaimRecord> records) {
        mRecords.clear();
        mKept.clear();
        mPerCustomer.clear();
        mAnswerBytes = 0;
        for (ClaimRecord r : records) {
            putLast(new ClaimKey(r.getCustomer(), r.getRequestKey()), r);
        }
    }

    /** Returns the number of records, expired ones that were not dropped yet included. */
    public int size() {
        return mRecords.size();
    }

    /** Returns the bytes of the answers that are kept. */
    public long answerBytes() {
        return mAnswerBytes;
    }

    private ClaimReply grant(ClaimKey key, ClaimRequest request, int attempt, long nowMillis) {
        putLast(
                key,
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
                        .setExpiresMillis(nowMillis + RETENTION_MILLIS)
                        .build());
        return reply(request, ClaimOutcome.CLAIM_GRANTED).setAttempt(attempt).build();
    }

    /** Returns the live record or null; stores UNKNOWN if its deadline has passed. */
    private ClaimRecord current(ClaimKey key, long nowMillis) {
        ClaimRecord record = mRecords.get(key);
        if (record == null) {
            return null;
        }
        if (record.getExpiresMillis() <= nowMillis) {
            remove(key);
            return null;
        }
        if (record.getState() == ClaimState.CLAIM_STATE_CLAIMED
                && record.getDeadlineMillis() <= nowMillis) {
            record = record.toBuilder().setState(ClaimState.CLAIM_STATE_UNKNOWN).build();
            mRecords.put(key, record);
        }
        return record;
    }

    /** A new leader's clock may lag, so an unexpired head can delay the ones behind it a little. */
    private void dropExpired(long nowMillis) {
        while (!mRecords.isEmpty()) {
            Map.Entry<ClaimKey, ClaimRecord> head = mRecords.entrySet().iterator().next();
            if (head.getValue().getExpiresMillis() > nowMillis) {
                return;
            }
            remove(head.getKey());
        }
    }

    private void putLast(ClaimKey key, ClaimRecord record) {
        remove(key);
        mRecords.put(key, record);
        mPerCustomer.merge(key.customer(), 1, Integer::sum);
        if (record.getAnswer().getBodyKept()) {
            mKept.add(key);
            mAnswerBytes += record.getAnswer().getBody().size();
            trimAnswers();
        }
    }

    private void trimAnswers() {
        Iterator<ClaimKey> oldest = mKept.iterator();
        while (mAnswerBytes > mMaxAnswerBytes && oldest.hasNext()) {
            ClaimKey key = oldest.next();
            oldest.remove();
            ClaimRecord record = mRecords.get(key);
            mAnswerBytes -= record.getAnswer().getBody().size();
            StoredAnswer withoutBody = StoredAnswers.withoutBody(record.getAnswer());
            mRecords.put(key, record.toBuilder().setAnswer(withoutBody).build());
        }
    }

    private void remove(ClaimKey key) {
        ClaimRecord record = mRecords.remove(key);
        if (record == null) {
            return;
        }
        mPerCustomer.computeIfPresent(key.customer(), (c, n) -> n > 1 ? n - 1 : null);
        if (mKept.remove(key)) {
            mAnswerBytes -= record.getAnswer().getBody().size();
        }
    }

    private boolean isFull(String customer) {
        int customerLimit = Math.max(1, mMaxRecords / CUSTOMER_SHARE);
        return mRecords.size() >= mMaxRecords
                || mPerCustomer.getOrDefault(customer, 0) >= customerLimit;
    }

    private static boolean isWellFormed(ClaimRequest request) {
        return !request.getClaimId().isEmpty()
                && !request.getCustomer().isEmpty()
                && !request.getRequestKey().isEmpty()
                && !request.getBodyHash().isEmpty()
                && request.getTimeoutMillis() > 0
                && request.getTimeoutMillis() <= MAX_TIMEOUT_MILLIS;
    }

    private static boolean isHolder(ClaimRecord record, ClaimRequest request) {
        return record.getClaimId().equals(request.getClaimId())
                && record.getRouter().equals(request.getRouter())
                && record.getRouterIncarnation() == request.getRouterIncarnation();
    }

    private static boolean mayBecome(ClaimState from, ClaimState to) {
        return switch (from) {
            case CLAIM_STATE_CLAIMED -> to != ClaimState.CLAIM_STATE_UNSPECIFIED;
            case CLAIM_STATE_UNKNOWN ->
                    to == ClaimState.CLAIM_STATE_DONE || to == ClaimState.CLAIM_STATE_NOT_RUN;
            default -> false;
        };
    }

    private static ClaimState stateAfter(ClaimEndState end) {
        return switch (end) {
            case CLAIM_END_DONE -> ClaimState.CLAIM_STATE_DONE;
            case CLAIM_END_NOT_RUN -> ClaimState.CLAIM_STATE_NOT_RUN;
            case CLAIM_END_UNKNOWN -> ClaimState.CLAIM_STATE_UNKNOWN;
            default -> ClaimState.CLAIM_STATE_UNSPECIFIED;
        };
    }

    private static ClaimReply.Builder reply(ClaimRequest request, ClaimOutcome outcome) {
        return ClaimReply.newBuilder().setClaimId(request.getClaimId()).setOutcome(outcome);
    }

    private record ClaimKey(String customer, String requestKey) {}
}
