package org.jacinthwharf.process.router;

import org.jacinthwharf.process.metrics.RefusalReason;

/** The result of parsing a caller's request. Immutable. */
sealed interface ParseResult {
    /** The request is valid. */
    record Parsed(CallerRequest request) implements ParseResult {}

    /**
     * The request is refused before it has any effect.
     *
     * @param detail explains the refusal to the caller
     */
    record Refused(RefusalReason reason, String detail) implements ParseResult {}
}
