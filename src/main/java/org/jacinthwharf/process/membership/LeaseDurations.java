package org.jacinthwharf.process.membership;

/** Durations of leases and views, in nanoseconds. Constants only. */
public final class LeaseDurations {
    /** Duration of a voter's promise, from the receipt of the request. */
    public static final long LEASE_NANOS = 2_000_000_000L;

    /**
     * Duration of a holder's lease, from the sending of the request. It is 2% shorter than the
     * voter's promise because the clock rates of two processes may differ by 1%.
     */
    public static final long HOLDER_LEASE_NANOS = 1_960_000_000L;

    /** Interval between renewal rounds of a coordinator. */
    public static final long RENEWAL_INTERVAL_NANOS = 500_000_000L;

    /** Maximum random delay of a candidacy, much longer than a round trip, to avoid split votes. */
    static final long ELECTION_JITTER_NANOS = 1_000_000_000L;

    /** Time after which a candidate without a majority withdraws. */
    static final long CANDIDACY_TIMEOUT_NANOS = 500_000_000L;

    private LeaseDurations() {}
}
