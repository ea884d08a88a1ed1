package org.jacinthwharf.process.router;

import org.jacinthwharf.process.metrics.RefusalReason;

/** What came of reading a caller's request. Immutable. */
sealed interface ParseResult {
    /** The request is well-formed. */
    record Parsed(CallerRequest request) implements ParseResult {}

    /**
     * The request is refused before it had any effect.
     *
     * @param detail names the offending part, for the caller
     */
    record Refused(RefusalReason reason, String detail) implements ParseResult {}
}
