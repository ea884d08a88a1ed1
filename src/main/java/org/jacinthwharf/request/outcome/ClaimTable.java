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
 * The claims of request keys, replicated on every member of the control group.
 *
 * <p>Invariants: while a record exists, its key is granted again only after the holder of the
 * latest grant reported NOT_RUN; a record leaves the table only by expiry. The state is a
 * deterministic function of the commands and their times and is wholly contained in {@link
 * #records}, so a restored member gives the same replies as the others. Malformed commands are
 * refused and never throw, since an exception would stop every member.
 *
 * <p>Memory: at most {@code maxRecords} records and {@code maxAnswerBytes} of answers. A new key is
 * refused as unavailable when the table is full or its customer holds a quarter of it; records are
 * never evicted early, because that would allow a second execution. When the answers exceed their
 * bound, the bodies of the oldest ones are dropped.
 *
 * <p>Not thread-safe; used on the event loop. Claims and reports take amortized constant time.
 */
public final class ClaimTable {
    /** Time from the last grant or report of a claim until its record expires. */
    public static final long RETENTION_MILLIS = 24 * 60 * 60 * 1000L;

    /**
     * Longest timeout of a claim; far below the retention, so that no holder outlives its record.
     */
    public static final long MAX_TIMEOUT_MILLIS = 60 * 60 * 1000L;

    private static final int DEFAULT_MAX_RECORDS = 200_000;
    private static final long DEFAULT_MAX_ANSWER_BYTES = 64L << 20;

    /** One customer holds at most a quarter of the records. */
    private static final int CUSTOMER_LIMIT_DIVISOR = 4;

    private final int mMaxRecords;
    private final long mMaxAnswerBytes;

    /** Ordered by the last grant or report of each record; the order is part of the state. */
    private final Map<ClaimKey, ClaimRecord> mRecords = new LinkedHashMap<>();

    /** Keys of the records that store an answer body, in the order of {@link #mRecords}. */
    private final Set<ClaimKey> mKeysWithBody = new LinkedHashSet<>();

    private final Map<String, Integer> mRecordsPerCustomer = new HashMap<>();
    private long mAnswerBytes;

    /** Creates an empty table with the default bounds. */
    public ClaimTable() {
        this(DEFAULT_MAX_RECORDS, DEFAULT_MAX_ANSWER_BYTES);
    }

    /**
     * Creates an empty table. All members must use the same bounds.
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
     * Applies a claim and returns whether its router may send the call.
     *
     * <p>A resent claim of the holder gets the same grant again. Other claims are not stored, so a
     * waiting router retries its claim until the holder's claim has ended.
     */
    public ClaimReply claim(ClaimRequest request, long nowMillis) {
        dropExpired(nowMillis);
        if (!isWellFormed(request)) {
            return reply(request, ClaimOutcome.CLAIM_UNAVAILABLE).build();
        }
        ClaimKey key = new ClaimKey(request.getCustomer(), request.getRequestKey());
        ClaimRecord record = liveRecord(key, nowMillis);
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
     * <p>The report is committed if the record then has the reported state; this includes a resent
     * report, which changes nothing. A report that contradicts DONE or NOT_RUN, or that belongs to
     * a claim other than the latest granted one, is not committed.
     */
    public ClaimEndReply end(ClaimEnd end, long nowMillis) {
        dropExpired(nowMillis);
        ClaimKey key = new ClaimKey(end.getCustomer(), end.getRequestKey());
        ClaimRecord record = liveRecord(key, nowMillis);
        ClaimState state = stateAfter(end.getState());
        boolean committed = false;
        if (record != null && record.getClaimId().equals(end.getClaimId())) {
            if (record.getState() == state) {
                committed = true;
            } else if (isAllowedTransition(record.getState(), state)) {
                committed = true;
                ClaimRecord.Builder ended =
                        record.toBuilder()
                                .setState(state)
                                .setExpiresMillis(nowMillis + RETENTION_MILLIS);
                if (state == ClaimState.CLAIM_STATE_DONE) {
                    ended.setAnswer(StoredAnswers.withinLimits(end.getAnswer()));
                }
                append(key, ended.build());
            }
        }
        return ClaimEndReply.newBuilder()
                .setClaimId(end.getClaimId())
                .setCommitted(committed)
                .build();
    }

    /** Returns all records in the order that {@link #restore} requires, in linear time. */
    public List<ClaimRecord> records() {
        return new ArrayList<>(mRecords.values());
    }

    /** Replaces all records with those that {@link #records} returned on any member. */
    public void restore(List<ClaimRecord> records) {
        mRecords.clear();
        mKeysWithBody.clear();
        mRecordsPerCustomer.clear();
        mAnswerBytes = 0;
        for (ClaimRecord r : records) {
            append(new ClaimKey(r.getCustomer(), r.getRequestKey()), r);
        }
    }

    /** Returns the number of records, including expired ones that are not yet dropped. */
    public int size() {
        return mRecords.size();
    }

    /** Returns the total size of the stored answer bodies in bytes. */
    public long answerBytes() {
        return mAnswerBytes;
    }

    private ClaimReply grant(ClaimKey key, ClaimRequest request, int attempt, long nowMillis) {
        append(
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

    /**
     * Returns the unexpired record or null; its state becomes UNKNOWN once its deadline has passed.
     */
    private ClaimRecord liveRecord(ClaimKey key, long nowMillis) {
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

    /**
     * A new leader's clock may lag, so an unexpired head can briefly delay the records behind it.
     */
    private void dropExpired(long nowMillis) {
        while (!mRecords.isEmpty()) {
            Map.Entry<ClaimKey, ClaimRecord> head = mRecords.entrySet().iterator().next();
            if (head.getValue().getExpiresMillis() > nowMillis) {
                return;
            }
            remove(head.getKey());
        }
    }

    private void append(ClaimKey key, ClaimRecord record) {
        remove(key);
        mRecords.put(key, record);
        mRecordsPerCustomer.merge(key.customer(), 1, Integer::sum);
        if (record.getAnswer().getBodyKept()) {
            mKeysWithBody.add(key);
            mAnswerBytes += record.getAnswer().getBody().size();
            evictOldestAnswers();
        }
    }

    private void evictOldestAnswers() {
        Iterator<ClaimKey> oldest = mKeysWithBody.iterator();
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
        mRecordsPerCustomer.computeIfPresent(key.customer(), (c, n) -> n > 1 ? n - 1 : null);
        if (mKeysWithBody.remove(key)) {
            mAnswerBytes -= record.getAnswer().getBody().size();
        }
    }

    private boolean isFull(String customer) {
        int customerLimit = Math.max(1, mMaxRecords / CUSTOMER_LIMIT_DIVISOR);
        return mRecords.size() >= mMaxRecords
                || mRecordsPerCustomer.getOrDefault(customer, 0) >= customerLimit;
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

    private static boolean isAllowedTransition(ClaimState from, ClaimState to) {
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
