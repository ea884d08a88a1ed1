package org.jacinthwharf.process.router;

/** Names of the HTTP headers between callers, routers and backend servers. */
final class RequestHeaders {
    static final String CUSTOMER = "X-Customer";
    static final String MODEL = "X-Model";
    static final String REQUEST_ID = "X-Request-Id";
    static final String REQUEST_KEY = "X-Request-Key";
    static final String IDEMPOTENT = "X-Idempotent";
    static final String COST_HINT = "X-Cost-Hint";
    static final String DEADLINE_MS = "X-Deadline-Ms";
    static final String LAST_EVENT_ID = "Last-Event-ID";
    static final String OUTCOME = "X-Outcome";

    // Between router and backend server.
    static final String ATTEMPT = "X-Attempt";
    static final String RESUME_FROM = "X-Resume-From";
    static final String NOT_RUN = "X-Not-Run";
    static final String COST = "X-Cost";

    private RequestHeaders() {}
}
