package org.jacinthwharf.connection;

import static com.google.common.base.Preconditions.checkArgument;

import io.netty.util.internal.PlatformDependent;

/**
 * Bounds the bytes of bodies that a process holds at the same time, over all its connections.
 *
 * <p>Used on one event loop only. Invariants: the bytes held never exceed the limit; a part of the
 * limit is left to small holders, so that large ones cannot keep them out.
 */
public final class BufferBudget {
    /**
     * A holder of up to this many bytes is small: the answer of a plain service, or a long prompt.
     */
    public static final int SMALL_BYTES = 128 << 10;

    /** Fraction of direct memory; the rest is for reads and writes in progress. */
    private static final double DIRECT_MEMORY_FRACTION = 1.0 / 2;

    private static final double SMALL_FRACTION = 1.0 / 4;

    private final long mLimit;
    private final long mLargeLimit;
    private long mHeld;

    /** Creates a budget of which nothing is held. */
    public BufferBudget(long limitBytes) {
        checkArgument(limitBytes > 0, "limit not positive: %s", limitBytes);
        mLimit = limitBytes;
        mLargeLimit = limitBytes - (long) (SMALL_FRACTION * limitBytes);
    }

    /** Returns a budget in proportion to the direct memory that this process may use. */
    public static BufferBudget ofProcess() {
        return new BufferBudget(
                (long) (DIRECT_MEMORY_FRACTION * PlatformDependent.maxDirectMemory()));
    }

    /**
     * Takes bytes for a holder, or returns false and takes none.
     *
     * @param holderBytes bytes that the holder has with them
     */
    boolean tryAcquire(long bytes, long holderBytes) {
        long limit = holderBytes <= SMALL_BYTES ? mLimit : mLargeLimit;
        if (mHeld + bytes > limit) {
            return false;
        }
        mHeld += bytes;
        return true;
    }

    void release(long bytes) {
        mHeld -= bytes;
    }

    /** Returns the bytes that are held. */
    public long heldBytes() {
        return mHeld;
    }
}
