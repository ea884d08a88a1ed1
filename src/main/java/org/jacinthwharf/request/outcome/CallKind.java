package org.jacinthwharf.request.outcome;

/** What may be done with a call whose attempt failed. */
public enum CallKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** Must not run twice; a claim of its request key guards it at every router. */
    KEYED,
    /** Must not run twice and has no request key: one attempt, known to one router only. */
    UNKEYED
}
