package org.jacinthwharf.process.membership;

/** Durations of leases and views, in nanoseconds. Constants only. */
public final class LeaseTimes {
    /** A voter's promise, from the time at which it received a request. */
    public static final long LEASE_NANOS = 2_000_000_000L;

    /**
     * A holder's lease, from the time at which it sent the request. It is 2% shorter than the
     * voter's promise because the clock rates of two processes may differ by 1%.
     */
    public static final long HOLDER_LEASE_NANOS = 1_960_000_000L;

    /** Time between two renewal rounds of a coordinator. */
    public static final long RENEWAL_NANOS = 500_000_000L;

    /** Longest random wait before a router stands; spreads candidates well beyond a round trip. */
    static final long ELECTION_SPREAD_NANOS = 1_000_000_000L;

    /** Time after which a candidate without a majority gives up its epoch. */
    static final long CANDIDACY_NANOS = 500_000_000L;

    private LeaseTimes() {}
}
