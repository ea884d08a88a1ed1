package org.jacinthwharf.request.admission;

import java.time.Duration;

/**
 * Durations, in nanoseconds, that routers and owners must agree on; see section 3.1 of the design.
 */
final class AdmissionDurations {
    /** A grant expires this long after the router sent the demand that it answers. */
    static final long GRANT_VALIDITY = Duration.ofSeconds(1).toNanos();

    /**
     * Maximum age, on arrival, of the number of running requests that a backend server announces.
     */
    static final long MAX_ANNOUNCEMENT_AGE = Duration.ofSeconds(1).toNanos();

    /** Maximum run time of a request. */
    static final long MAX_REQUEST_DURATION = Duration.ofSeconds(120).toNanos();

    /** A backend server whose last announcement is older than this gets no grants. */
    static final long ANNOUNCEMENT_TIMEOUT = Duration.ofSeconds(5).toNanos();

    /** Interval at which routers resend an outstanding demand. */
    static final long EXCHANGE_INTERVAL = Duration.ofMillis(200).toNanos();

    /**
     * Minimum interval between demands that arriving requests cause while no owner offers a free
     * slot.
     */
    static final long MIN_DEMAND_INTERVAL = Duration.ofMillis(20).toNanos();

    /** Interval at which offers and running reports are resent. */
    static final long RESEND_INTERVAL = Duration.ofSeconds(1).toNanos();

    /** Maximum delay by which a message may arrive after one that was sent later. */
    static final long MAX_REORDER_DELAY = Duration.ofSeconds(5).toNanos();

    private AdmissionDurations() {}
}
