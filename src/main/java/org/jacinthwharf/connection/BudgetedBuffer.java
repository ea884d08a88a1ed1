package org.jacinthwharf.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;

/**
 * A body that arrives in pieces, whose memory a {@link BufferBudget} covers until it is released.
 *
 * <p>Used on one event loop only. Each byte is copied once, into segments of its own, since a piece
 * may be a slice of a much larger read buffer. Invariant: the budget covers the capacity of all
 * segments.
 */
public final class BudgetedBuffer extends CompositeByteBuf {
    private static final int MIN_SEGMENT_BYTES = 1 << 10;
    private static final int MAX_SEGMENT_BYTES = 64 << 10;

    // Pools keep freed memory in chunks, which the budget does not see.
    private static final UnpooledByteBufAllocator ALLOCATOR =
            new UnpooledByteBufAllocator(true, true);

    private final BufferBudget mBudget;
    private long mAcquired;
    private int mNextSegmentBytes = MIN_SEGMENT_BYTES;

    /** Creates an empty buffer, which holds nothing of the budget. */
    public BudgetedBuffer(BufferBudget budget) {
        super(ALLOCATOR, true, Integer.MAX_VALUE);
        mBudget = budget;
    }

    /**
     * Takes the bytes for a body of known length from the budget, so that it can be appended.
     *
     * @return false if the budget does not suffice
     */
    public boolean tryReserve(int length) {
        if (!mBudget.tryAcquire(length, mAcquired + length)) {
            return false;
        }
        mAcquired += length;
        return true;
    }

    /**
     * Appends a copy of all readable bytes.
     *
     * @return false if the budget does not suffice; the buffer must be released then
     */
    public boolean tryAppend(ByteBuf data) {
        while (writableBytes() < data.readableBytes()) {
            if (!tryAddSegment(data.readableBytes() - writableBytes())) {
                return false;
            }
        }
        writeBytes(data, data.readerIndex(), data.readableBytes());
        return true;
    }

    private boolean tryAddSegment(int wanted) {
        long reserved = mAcquired - capacity();
        int size;
        if (reserved > 0) {
            size = (int) Math.min(reserved, MAX_SEGMENT_BYTES);
        } else {
            size = Math.min(MAX_SEGMENT_BYTES, Math.max(mNextSegmentBytes, wanted));
            if (!tryReserve(size)) {
                return false;
            }
            mNextSegmentBytes = Math.min(MAX_SEGMENT_BYTES, 2 * size);
        }
        ByteBuf segment = ALLOCATOR.directBuffer(size, size);
        addComponent(false, segment.writerIndex(size));
        return true;
    }

    @Override
    protected void deallocate() {
        super.deallocate();
        mBudget.release(mAcquired);
        mAcquired = 0;
    }
}
