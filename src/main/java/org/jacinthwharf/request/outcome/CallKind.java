package org.jacinthwharf.request.outcome;

/** Whether a call may be retried after a failed attempt. */
public enum CallKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** Must not run twice; a claim on its request key prevents that across all routers. */
    KEYED,
    /** Must not run twice and has no request key: only one attempt, tracked by a single router. */
    UNKEYED
}
