package org.jacinthwharf.process.router;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jacinthwharf.connection.ResetCheck;

/**
 * Opens connections on which a reset fails the answer in flight, also one that follows the end of
 * the input. Jetty's own end points report both as the end of the input, which ends an answer
 * without length or chunks as if it were whole.
 *
 * <p>Thread-safe.
 */
final class ResetDetectingConnector extends ClientConnector {
    /** A peer that closes before it has read everything sends the reset right after the close. */
    private static final long RESET_TIME_MS = 10;

    @Override
    protected EndPoint newEndPoint(
            SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        EndPoint endPoint =
                new ResetDetectingEndPoint(
                        (SocketChannel) channel, selector, key, getScheduler(), getExecutor());
        endPoint.setIdleTimeout(getIdleTimeout().toMillis());
        return endPoint;
    }

    /** One connection. Thread-safety is that of its superclass. */
    private static final class ResetDetectingEndPoint extends SocketChannelEndPoint {
        private final Executor mExecutor;

        /** When the end of the input was read; empty before that. */
        private volatile OptionalLong mEndNanos = OptionalLong.empty();

        ResetDetectingEndPoint(
                SocketChannel channel,
                ManagedSelector selector,
                SelectionKey key,
                Scheduler scheduler,
                Executor executor) {
            super(channel, selector, key, scheduler);
            mExecutor = executor;
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            if (isInputShutdown()) {
                return -1;
            }
            int position = BufferUtil.flipToFill(buffer);
            try {
                int filled = getChannel().read(buffer);
                if (filled > 0) {
                    notIdle();
                }
                return filled < 0 ? onEndOfInput() : filled;
            } catch (IOException e) {
                close(e);
                throw e;
            } finally {
                BufferUtil.flipToFlush(buffer, position);
            }
        }

        /** Reports the end of the input after the time in which a reset may follow it. */
        private int onEndOfInput() throws IOException {
            long now = System.nanoTime();
            if (mEndNanos.isEmpty()) {
                mEndNanos = OptionalLong.of(now);
            }
            if (now - mEndNanos.getAsLong() < TimeUnit.MILLISECONDS.toNanos(RESET_TIME_MS)) {
                return 0;
            }
            if (ResetCheck.isReset(getChannel())) {
                throw new IOException("reset after the end of the input");
            }
            shutdownInput();
            return -1;
        }

        @Override
        protected void needsFillInterest() {
            if (mEndNanos.isEmpty()) {
                super.needsFillInterest();
            } else {
                getScheduler()
                        .schedule(
                                () -> mExecutor.execute(getFillInterest()::fillable),
                                RESET_TIME_MS,
                                TimeUnit.MILLISECONDS);
            }
        }
    }
}
