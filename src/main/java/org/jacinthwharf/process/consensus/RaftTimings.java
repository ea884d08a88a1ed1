package org.jacinthwharf.process.consensus;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Timeouts and intervals of the protocol. Stateless and thread-safe. */
final class RaftTimings {
    /** Time without a message from the leader after which a member considers it lost. */
    static final long ELECTION_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** A seventh of the election timeout, so that several lost messages cause no election. */
    static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Interval between requests to join the group. */
    static final long JOIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Interval between requests of a member to leave the group; several round trips. */
    static final long LEAVE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time for which a request to leave is valid; several of them may be lost. */
    static final long LEAVE_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time without contact after which a member counts as lost; longer than a VM restart. */
    static final long REMOVAL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

    /**
     * Time without contact after which a member whose VM refuses connections counts as lost; longer
     * than it takes to reopen a link.
     */
    static final long REFUSED_REMOVAL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time after which an unacknowledged snapshot is sent again. */
    static final long SNAPSHOT_RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    // Separates the timeouts of two members by more than a round trip and a disk sync.
    private static final long ELECTION_JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    // Shorter than the election timeout, so that even after one split vote a leader is elected
    // within 2 s of the loss of the old one: 1,000 + 400 + 250 + 200 ms and two round trips. Longer
    // than two round trips and a slow sync.
    private static final long CANDIDATE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long CANDIDATE_JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    // After a start there was no contact with a leader; the pre-vote protects an existing leader.
    private static final long STARTUP_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long STARTUP_JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private RaftTimings() {}

    /** Returns how long a member waits for a leader after its start. */
    static long startupTimeout(RandomGenerator random) {
        return STARTUP_TIMEOUT_NANOS + random.nextLong(STARTUP_JITTER_NANOS);
    }

    /** Returns how long a follower waits for a leader. */
    static long followerTimeout(RandomGenerator random) {
        return ELECTION_TIMEOUT_NANOS + random.nextLong(ELECTION_JITTER_NANOS);
    }

    /** Returns how long a candidate waits for votes before it campaigns again. */
    static long candidateTimeout(RandomGenerator random) {
        return CANDIDATE_TIMEOUT_NANOS + random.nextLong(CANDIDATE_JITTER_NANOS);
    }
}
