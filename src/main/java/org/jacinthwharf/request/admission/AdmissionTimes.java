package org.jacinthwharf.request.admission;

import java.time.Duration;

/** Holds the durations, in nanoseconds, that routers and owners must agree on; see design 3.1. */
final class AdmissionTimes {
    /** A router uses a grant only this long after it sent the demand that the grant answers. */
    static final long GRANT_USE_LIMIT = Duration.ofSeconds(1).toNanos();

    /** The running number that a backend server announces may be this old on arrival. */
    static final long ANNOUNCEMENT_LAG = Duration.ofSeconds(1).toNanos();

    /** No request runs longer. */
    static final long LONGEST_REQUEST = Duration.ofSeconds(120).toNanos();

    /** A backend server whose last announcement is older gets no grants. */
    static final long SUSPECT_AFTER = Duration.ofSeconds(5).toNanos();

    /** Routers repeat a standing demand once per round. */
    static final long EXCHANGE_ROUND = Duration.ofMillis(200).toNanos();

    /** Without an offered free slot, arriving requests cause one demand in this time at most. */
    static final long ASK_PAUSE = Duration.ofMillis(20).toNanos();

    /** Offers and running reports are repeated at this interval. */
    static final long REPEAT_INTERVAL = Duration.ofSeconds(1).toNanos();

    /** A message is not delivered later than this after one that was sent after it. */
    static final long REORDER_LIMIT = Duration.ofSeconds(5).toNanos();

    private AdmissionTimes() {}
}
