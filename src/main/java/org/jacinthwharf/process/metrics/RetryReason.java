package org.jacinthwharf.process.metrics;

import com.google.common.base.Ascii;

/** Reason why a request was retried. Each has a counter. */
public enum RetryReason {
    CONNECT_FAILED,
    CONNECTION_CLOSED,
    CONNECTION_SILENT,
    BACKEND_NOT_RUN,
    BACKEND_ERROR,
    CROSSED_ANSWER,
    STREAM_TRUNCATED,
    FOREIGN_EVENT,
    SLOT_RECALLED,
    GRANT_EXPIRED;

    /** Returns the reason code in logs and counters, such as {@code connect_failed}. */
    public String code() {
        return Ascii.toLowerCase(name());
    }
}
