package org.jacinthwharf.process.membership;

import java.util.Map;
import java.util.TreeMap;
import org.jacinthwharf.wire.generated.ViewRenewal;

/**
 * Computes the end of a member's lease under one coordinator.
 *
 * <p>A round is confirmed when a majority has acknowledged it. Invariant: the lease starts when the
 * member sent the last ack that the coordinator received before it sent round r, where r is the
 * latest round received by the member that is not later than a confirmed round. Hence the lease
 * starts before any voter of the confirmed round made its promise. Not thread-safe.
 */
final class MemberLease {
    /** Rounds of the last 8 s; older rounds cannot yield a valid lease. */
    private static final int MAX_TRACKED_ROUNDS = 16;

    private final TreeMap<Long, Long> mAckSentAt = new TreeMap<>();
    private final TreeMap<Long, Long> mLeaseStartOfRound = new TreeMap<>();
    private long mValidUntilNanos = Long.MIN_VALUE;

    /** Records a renewal that lists this incarnation as a member. */
    void onRenewal(ViewRenewal renewal) {
        Long start = mAckSentAt.get(renewal.getAcknowledgedRound());
        if (start != null) {
            mLeaseStartOfRound.putIfAbsent(renewal.getRound(), start);
            trim(mLeaseStartOfRound);
        }
        onConfirmed(renewal.getConfirmedRound());
    }

    /** Records that {@code round} is confirmed. */
    void onConfirmed(long round) {
        Map.Entry<Long, Long> start = mLeaseStartOfRound.floorEntry(round);
        if (start != null) {
            mValidUntilNanos =
                    Math.max(
                            mValidUntilNanos, start.getValue() + LeaseDurations.HOLDER_LEASE_NANOS);
        }
    }

    /** Records the ack of {@code round}; a repeated ack counts from its first sending. */
    void onAckSent(long round, long nowNanos) {
        mAckSentAt.putIfAbsent(round, nowNanos);
        trim(mAckSentAt);
    }

    /** Relinquishes the lease; acks sent so far can still start a new one. */
    void relinquish() {
        mLeaseStartOfRound.clear();
        mValidUntilNanos = Long.MIN_VALUE;
    }

    long validUntilNanos() {
        return mValidUntilNanos;
    }

    private static void trim(TreeMap<Long, Long> map) {
        while (map.size() > MAX_TRACKED_ROUNDS) {
            map.pollFirstEntry();
        }
    }
}
