package org.jacinthwharf.process.metrics;

import com.google.common.base.Ascii;

/** Reason why a request or announcement was refused. Each has a counter and appears in answers. */
public enum RefusalReason {
    // Bad input.
    MALFORMED_REQUEST(400),
    MALFORMED_ANNOUNCEMENT(400),
    MISSING_CUSTOMER(400),
    UNKNOWN_ACCESS_KEY(401),
    UNKNOWN_CUSTOMER(403),
    UNKNOWN_MODEL(404),
    UNKNOWN_PATH(404),
    METHOD_NOT_ALLOWED(405),
    BODY_TOO_LARGE(413),
    BODY_TOO_SLOW(408),
    HEADER_TOO_LARGE(431),
    WRONG_FAILURE_DOMAIN(409),
    // Load and capacity.
    CUSTOMER_QUEUE_FULL(429),
    QUEUE_FULL(503),
    DEADLINE_UNREACHABLE(503),
    DEADLINE_PASSED(504),
    NO_BACKEND_SERVER(503),
    NOT_READY(503),
    DRAINING(503),
    GATEWAY_BUSY(503),
    INTERNAL_FAULT(503),
    // Non-idempotent calls.
    KEY_REUSED(422),
    KEY_IN_PROGRESS(409),
    CLAIM_UNAVAILABLE(503),
    OUTCOME_UNKNOWN(504),
    // Backend servers.
    BACKEND_REFUSED(503),
    REQUEST_ID_REPEATED(503),
    BACKEND_FAILED(502),
    PROMPT_BLOCKED(503),
    REQUEST_BLOCKED(503),
    STREAM_TRUNCATED(502),
    RETRY_BUDGET_EMPTY(503);

    private final int mStatus;

    RefusalReason(int status) {
        mStatus = status;
    }

    /** Returns the HTTP status of answers with this reason. */
    public int status() {
        return mStatus;
    }

    /** Returns the reason code in answers, logs and counters, such as {@code queue_full}. */
    public String code() {
        return Ascii.toLowerCase(name());
    }
}
