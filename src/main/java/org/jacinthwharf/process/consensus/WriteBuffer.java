package org.jacinthwharf.process.consensus;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jacinthwharf.wire.generated.RaftSnapshot;

/**
 * Tracks what is written, what is being written, and the messages that wait for it.
 *
 * <p>Not thread-safe. Invariants: at most one batch is being written, so records that arrive
 * meanwhile share the next sync; {@link #durableIndex} never exceeds what a synced batch holds of
 * the present log; a message that promises something is released only after the promise is synced.
 */
final class WriteBuffer {
    private final RaftLog mLog;
    private final List<RaftEffects.Outgoing> mNextMessages = new ArrayList<>();
    private final List<RaftEffects.Outgoing> mInFlightMessages = new ArrayList<>();
    private Optional<RaftSnapshot> mSnapshot = Optional.empty();
    private boolean mTermChanged;
    private boolean mInFlight;
    private long mInFlightLast;
    private long mUnwrittenFrom;
    private long mDurableIndex;

    /** Creates a buffer for a log that is stored completely. */
    WriteBuffer(RaftLog log) {
        mLog = log;
        mDurableIndex = log.lastIndex();
        mUnwrittenFrom = log.lastIndex() + 1;
    }

    long durableIndex() {
        return mDurableIndex;
    }

    /** Returns whether nothing waits to be written or synced. */
    boolean isClean() {
        return !mInFlight && !isDirty();
    }

    void termChanged() {
        mTermChanged = true;
    }

    /** Notes that the log lost its entries from {@code index} on. */
    void truncated(long index) {
        mDurableIndex = Math.min(mDurableIndex, index - 1);
        mInFlightLast = Math.min(mInFlightLast, index - 1);
        mUnwrittenFrom = Math.min(mUnwrittenFrom, index);
    }

    /** Notes a snapshot, after the log took it; the stored log is written anew after it. */
    void snapshotTaken(RaftSnapshot snapshot) {
        mSnapshot = Optional.of(snapshot);
        mDurableIndex = Math.min(mDurableIndex, mLog.lastIndex());
        mInFlightLast = Math.min(mInFlightLast, mLog.lastIndex());
    }

    /** Sends {@code message} when everything noted until now is synced. */
    void sendWhenDurable(RaftEffects.Outgoing message) {
        mNextMessages.add(message);
    }

    /** Returns the next batch, or nothing while a batch is being written. */
    Optional<StorageBatch> nextBatch(StoredTerm term, List<RaftEffects.Outgoing> sendNow) {
        if (!isDirty()) {
            (mInFlight ? mInFlightMessages : sendNow).addAll(mNextMessages);
            mNextMessages.clear();
            return Optional.empty();
        }
        if (mInFlight) {
            return Optional.empty();
        }
        long from = mSnapshot.isPresent() ? mLog.snapshotIndex() + 1 : mUnwrittenFrom;
        StorageBatch batch =
                new StorageBatch(
                        mTermChanged || mSnapshot.isPresent()
                                ? Optional.of(term)
                                : Optional.empty(),
                        mLog.slice(from, mLog.lastIndex(), Integer.MAX_VALUE),
                        mSnapshot);
        mInFlight = true;
        mInFlightLast = mLog.lastIndex();
        mInFlightMessages.addAll(mNextMessages);
        mNextMessages.clear();
        mUnwrittenFrom = mLog.lastIndex() + 1;
        mTermChanged = false;
        mSnapshot = Optional.empty();
        return Optional.of(batch);
    }

    /** Notes that the batch is synced; returns the messages that waited for it. */
    ImmutableList<RaftEffects.Outgoing> batchDone() {
        mInFlight = false;
        mDurableIndex = Math.max(mDurableIndex, mInFlightLast);
        ImmutableList<RaftEffects.Outgoing> result = ImmutableList.copyOf(mInFlightMessages);
        mInFlightMessages.clear();
        return result;
    }

    private boolean isDirty() {
        return mTermChanged || mSnapshot.isPresent() || mUnwrittenFrom <= mLog.lastIndex();
    }
}
