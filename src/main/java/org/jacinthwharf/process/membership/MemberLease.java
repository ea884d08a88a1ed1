package org.jacinthwharf.process.membership;

import java.util.Map;
import java.util.TreeMap;
import org.jacinthwharf.wire.generated.ViewRenewal;

/**
 * Times the lease of a member under one coordinator.
 *
 * <p>Invariant: the lease counts from a time before the coordinator sent a round that a majority
 * confirmed, hence before any voter of that majority made its promise. That time is the sending of
 * the member's last ack that the coordinator had received when it sent the round. Not thread-safe.
 */
final class MemberLease {
    /** Rounds of the last 8 s; older ones give no valid lease. */
    private static final int KEPT_ROUNDS = 16;

    private final TreeMap<Long, Long> mAckSentAt = new TreeMap<>();
    private final TreeMap<Long, Long> mBaseOfRound = new TreeMap<>();
    private long mValidUntilNanos = Long.MIN_VALUE;

    /** Notes a renewal that lists this incarnation as a member. */
    void onRenewal(ViewRenewal renewal) {
        Long base = mAckSentAt.get(renewal.getAcknowledgedRound());
        if (base != null) {
            mBaseOfRound.putIfAbsent(renewal.getRound(), base);
            trim(mBaseOfRound);
        }
        onConfirmed(renewal.getConfirmedRound());
    }

    /** Notes that a majority acknowledged {@code round}. */
    void onConfirmed(long round) {
        Map.Entry<Long, Long> base = mBaseOfRound.floorEntry(round);
        if (base != null) {
            mValidUntilNanos =
                    Math.max(mValidUntilNanos, base.getValue() + LeaseTimes.HOLDER_LEASE_NANOS);
        }
    }

    /** Notes the ack of {@code round}; a repeated ack counts from its first sending. */
    void onAckSent(long round, long nowNanos) {
        mAckSentAt.putIfAbsent(round, nowNanos);
        trim(mAckSentAt);
    }

    /** Gives up the lease; acks sent so far can still start a new one. */
    void drop() {
        mBaseOfRound.clear();
        mValidUntilNanos = Long.MIN_VALUE;
    }

    long validUntilNanos() {
        return mValidUntilNanos;
    }

    private static void trim(TreeMap<Long, Long> map) {
        while (map.size() > KEPT_ROUNDS) {
            map.pollFirstEntry();
        }
    }
}
