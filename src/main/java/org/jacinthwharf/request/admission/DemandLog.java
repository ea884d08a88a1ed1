package org.jacinthwharf.request.admission;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Numbers the demands of a router and remembers when each was sent.
 *
 * <p>Invariant: once {@link #closedSequence} has returned a number, no demand up to it is open
 * again, so no grant that answers one of them starts a request. Not thread-safe. Holds the demands
 * of one grant use limit.
 */
final class DemandLog {
    private final TreeMap<Long, Long> mSentNanos = new TreeMap<>();
    private long mLast;

    /** Returns the number of a demand that is sent now. */
    long next(long nowNanos) {
        mSentNanos.put(++mLast, nowNanos);
        return mLast;
    }

    /** Returns until when grants that answer the demand may be used, or empty if they may not. */
    OptionalLong usableUntil(long sequence, long nowNanos) {
        Long sent = mSentNanos.get(sequence);
        if (sent == null || nowNanos - sent > AdmissionTimes.GRANT_USE_LIMIT) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(sent + AdmissionTimes.GRANT_USE_LIMIT);
    }

    /** Closes the demands past the grant use limit and returns the greatest closed number. */
    long closedSequence(long nowNanos) {
        while (!mSentNanos.isEmpty()) {
            Map.Entry<Long, Long> oldest = mSentNanos.firstEntry();
            if (nowNanos - oldest.getValue() <= AdmissionTimes.GRANT_USE_LIMIT) {
                return oldest.getKey() - 1;
            }
            mSentNanos.pollFirstEntry();
        }
        return mLast;
    }
}
