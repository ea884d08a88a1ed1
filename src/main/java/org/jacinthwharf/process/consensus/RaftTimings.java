package org.jacinthwharf.process.consensus;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Intervals of the protocol in nanoseconds. Stateless and thread-safe. */
final class RaftTimings {
    /** Without a leader's message for this long, a member considers the leader lost. */
    static final long ELECTION_TIMEOUT = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** A seventh of the election timeout, so that several lost messages cause no election. */
    static final long HEARTBEAT = TimeUnit.MILLISECONDS.toNanos(150);

    /** Interval at which a member outside the group asks to join. */
    static final long JOIN_INTERVAL = TimeUnit.MILLISECONDS.toNanos(500);

    /** A member that is silent for this long is taken for lost; a VM restarts within it. */
    static final long REMOVAL = TimeUnit.MILLISECONDS.toNanos(4_000);

    /** A snapshot that was not acknowledged for this long is sent again. */
    static final long SNAPSHOT_RESEND = TimeUnit.MILLISECONDS.toNanos(2_000);

    // Keeps the waits of two members apart by more than a round trip and a disk sync.
    private static final long ELECTION_SPREAD = TimeUnit.MILLISECONDS.toNanos(400);
    // Shorter than the election timeout, so that also after one split vote a leader is elected
    // 1,000 + 400 + 250 + 200 ms and two round trips after the loss of the old one, within 2 s;
    // longer than two round trips and a slow sync.
    private static final long CANDIDATE_TIMEOUT = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long CANDIDATE_SPREAD = TimeUnit.MILLISECONDS.toNanos(200);

    // After a start no leader has been heard, and a vote before the vote keeps a living one.
    private static final long FIRST_WAIT = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long FIRST_SPREAD = TimeUnit.MILLISECONDS.toNanos(200);

    private RaftTimings() {}

    /** Returns how long a member waits for a leader after its start. */
    static long firstWait(RandomGenerator random) {
        return FIRST_WAIT + random.nextLong(FIRST_SPREAD);
    }

    /** Returns how long a follower waits for a leader. */
    static long followerWait(RandomGenerator random) {
        return ELECTION_TIMEOUT + random.nextLong(ELECTION_SPREAD);
    }

    /** Returns how long a candidate waits for votes before it asks again. */
    static long candidateWait(RandomGenerator random) {
        return CANDIDATE_TIMEOUT + random.nextLong(CANDIDATE_SPREAD);
    }
}
