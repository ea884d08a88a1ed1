package org.jacinthwharf.connection;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.BooleanSupplier;

/**
 * Bounds what is read of one connection in a run of the event loop: a few bytes of a large body,
 * and otherwise all that has arrived, so that the end of the connection is seen with the request.
 *
 * <p>Used on the event loop of the connection only.
 */
public final class BoundedReads implements RecvByteBufAllocator {
    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 << 10;
    private static final int MAX_READ_BYTES = 8 << 10;
    private static final int MAX_READS = 16;

    /** With a few hundred uploads at once, a run takes some milliseconds. */
    private static final int MAX_READS_OF_LARGE_BODY = 2;

    private static final RecvByteBufAllocator READS =
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                    .respectMaybeMoreData(false)
                    .maxMessagesPerRead(MAX_READS);

    private final BooleanSupplier mReadsLargeBody;

    /**
     * Creates the bounds of one connection.
     *
     * @param readsLargeBody whether a large body is arriving
     */
    public BoundedReads(BooleanSupplier readsLargeBody) {
        mReadsLargeBody = readsLargeBody;
    }

    @Override
    public Handle newHandle() {
        return new BoundedHandle(READS.newHandle(), mReadsLargeBody);
    }

    private static final class BoundedHandle extends DelegatingHandle {
        private final BooleanSupplier mReadsLargeBody;
        private int mReads;

        BoundedHandle(Handle delegate, BooleanSupplier readsLargeBody) {
            super(delegate);
            mReadsLargeBody = readsLargeBody;
        }

        @Override
        public void reset(ChannelConfig config) {
            mReads = 0;
            super.reset(config);
        }

        @Override
        public boolean continueReading() {
            mReads++;
            boolean enough = mReads >= MAX_READS_OF_LARGE_BODY && mReadsLargeBody.getAsBoolean();
            return !enough && super.continueReading();
        }
    }
}
