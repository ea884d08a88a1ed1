package org.jacinthwharf.request.admission;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Assigns sequence numbers to the demands of a router and records when each was sent.
 *
 * <p>Invariant: once {@link #closedSequence} has returned a number, every demand up to it stays
 * closed, so no grant that answers one of them starts a request. Not thread-safe. Holds the demands
 * sent within {@link AdmissionDurations#GRANT_VALIDITY}.
 */
final class DemandLog {
    private final TreeMap<Long, Long> mSentNanos = new TreeMap<>();
    private long mLastSequence;

    /** Returns the sequence number of a demand that is sent now. */
    long next(long nowNanos) {
        mSentNanos.put(++mLastSequence, nowNanos);
        return mLastSequence;
    }

    /**
     * Returns the time until which grants that answer the demand may be used, or empty if they have
     * expired.
     */
    OptionalLong usableUntil(long sequence, long nowNanos) {
        Long sent = mSentNanos.get(sequence);
        if (sent == null || nowNanos - sent > AdmissionDurations.GRANT_VALIDITY) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(sent + AdmissionDurations.GRANT_VALIDITY);
    }

    /**
     * Closes the demands whose grants have expired and returns the greatest closed sequence number.
     */
    long closedSequence(long nowNanos) {
        while (!mSentNanos.isEmpty()) {
            Map.Entry<Long, Long> oldest = mSentNanos.firstEntry();
            if (nowNanos - oldest.getValue() <= AdmissionDurations.GRANT_VALIDITY) {
                return oldest.getKey() - 1;
            }
            mSentNanos.pollFirstEntry();
        }
        return mLastSequence;
    }
}
