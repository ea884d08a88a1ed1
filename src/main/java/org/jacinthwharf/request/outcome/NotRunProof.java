package org.jacinthwharf.request.outcome;

import com.google.common.base.Ascii;

/** Detects answers by which a server states that it did not run a call. Thread-safe. */
public final class NotRunProof {
    /** Header with which a 503 proves that the call did not run. */
    public static final String HEADER = "X-Not-Run";

    private static final int TOO_EARLY = 425;
    private static final int SERVICE_UNAVAILABLE = 503;

    private NotRunProof() {}

    /**
     * Returns whether the call provably did not run: status 425, or 503 with {@code X-Not-Run:
     * true}.
     *
     * @param notRunHeader value of {@link #HEADER}, empty if the answer has none
     */
    public static boolean isProof(int status, String notRunHeader) {
        return status == TOO_EARLY
                || (status == SERVICE_UNAVAILABLE
                        && Ascii.equalsIgnoreCase(notRunHeader.trim(), "true"));
    }
}
