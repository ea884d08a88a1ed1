package org.jacinthwharf.process.consensus;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jacinthwharf.wire.generated.RaftSnapshot;

/**
 * Tracks unwritten and in-flight changes, and the messages that depend on them.
 *
 * <p>Not thread-safe. Invariants: at most one batch is in flight, so changes made meanwhile share
 * the next sync; entries of the current log up to {@link #durableIndex} are synced; a message is
 * released only after the changes that it depends on are synced. From a failed write to the next
 * successful one, messages that depend on a sync are dropped, since the member must not promise
 * what it cannot store; the next batch then rewrites the whole state, because the end of the stored
 * log is unknown.
 */
final class WriteBuffer {
    private final RaftLog mLog;
    private final List<RaftEffects.Outgoing> mNextMessages = new ArrayList<>();
    private final List<RaftEffects.Outgoing> mInFlightMessages = new ArrayList<>();
    private Optional<RaftSnapshot> mSnapshot = Optional.empty();
    private boolean mHardStateChanged;
    private boolean mInFlight;
    private boolean mFailing;
    private long mInFlightLastIndex;
    private long mFirstUnwrittenIndex;
    private long mDurableIndex;

    /** Creates a buffer for a log whose entries are all synced. */
    WriteBuffer(RaftLog log) {
        mLog = log;
        mDurableIndex = log.lastIndex();
        mFirstUnwrittenIndex = log.lastIndex() + 1;
    }

    long durableIndex() {
        return mDurableIndex;
    }

    /** Returns whether all changes are synced. */
    boolean isFullySynced() {
        return !mInFlight && !hasUnwritten();
    }

    void hardStateChanged() {
        mHardStateChanged = true;
    }

    /** Records that the log was truncated from {@code index} on. */
    void logTruncated(long index) {
        mDurableIndex = Math.min(mDurableIndex, index - 1);
        mInFlightLastIndex = Math.min(mInFlightLastIndex, index - 1);
        mFirstUnwrittenIndex = Math.min(mFirstUnwrittenIndex, index);
    }

    /** Records the snapshot that the log now starts from; the next batch rewrites the log file. */
    void snapshotReplaced(RaftSnapshot snapshot) {
        mSnapshot = Optional.of(snapshot);
        mDurableIndex = Math.min(mDurableIndex, mLog.lastIndex());
        mInFlightLastIndex = Math.min(mInFlightLastIndex, mLog.lastIndex());
    }

    /** Sends {@code message} when all changes recorded so far are synced. */
    void sendWhenDurable(RaftEffects.Outgoing message) {
        if (!mFailing) {
            mNextMessages.add(message);
        }
    }

    /** Returns whether the last write failed. */
    boolean isFailing() {
        return mFailing;
    }

    /** Records that the batch in flight could not be written; no batch follows before a retry. */
    void batchFailed() {
        mFailing = true;
        mInFlightLastIndex = mDurableIndex;
        mInFlightMessages.clear();
        mNextMessages.clear();
    }

    /** Makes the whole state the next batch, after {@link #batchFailed}. */
    void retryBatch() {
        mInFlight = false;
        snapshotReplaced(mLog.snapshot());
    }

    /** Returns the next batch, or empty if nothing changed or a batch is in flight. */
    Optional<StorageBatch> nextBatch(HardState hardState, List<RaftEffects.Outgoing> sendNow) {
        if (!hasUnwritten()) {
            (mInFlight ? mInFlightMessages : sendNow).addAll(mNextMessages);
            mNextMessages.clear();
            return Optional.empty();
        }
        if (mInFlight) {
            return Optional.empty();
        }
        long from = mSnapshot.isPresent() ? mLog.snapshotIndex() + 1 : mFirstUnwrittenIndex;
        StorageBatch batch =
                new StorageBatch(
                        mHardStateChanged || mSnapshot.isPresent()
                                ? Optional.of(hardState)
                                : Optional.empty(),
                        mLog.slice(from, mLog.lastIndex(), Integer.MAX_VALUE),
                        mSnapshot);
        mInFlight = true;
        mInFlightLastIndex = mLog.lastIndex();
        mInFlightMessages.addAll(mNextMessages);
        mNextMessages.clear();
        mFirstUnwrittenIndex = mLog.lastIndex() + 1;
        mHardStateChanged = false;
        mSnapshot = Optional.empty();
        return Optional.of(batch);
    }

    /** Records that the batch in flight is synced; returns the messages that depended on it. */
    ImmutableList<RaftEffects.Outgoing> batchSynced() {
        mInFlight = false;
        mFailing = false;
        mDurableIndex = Math.max(mDurableIndex, mInFlightLastIndex);
        ImmutableList<RaftEffects.Outgoing> result = ImmutableList.copyOf(mInFlightMessages);
        mInFlightMessages.clear();
        return result;
    }

    private boolean hasUnwritten() {
        return mHardStateChanged
                || mSnapshot.isPresent()
                || mFirstUnwrittenIndex <= mLog.lastIndex();
    }
}
