package org.jacinthwharf.process.router;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Opens connections on which a reset fails the answer in flight. Jetty's own end points report a
 * reset as the end of the input, which ends an answer without length or chunks as if it were whole.
 *
 * <p>Thread-safe.
 */
final class ResetDetectingConnector extends ClientConnector {
    @Override
    protected EndPoint newEndPoint(
            SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        EndPoint endPoint =
                new ResetDetectingEndPoint((SocketChannel) channel, selector, key, getScheduler());
        endPoint.setIdleTimeout(getIdleTimeout().toMillis());
        return endPoint;
    }

    /** One connection. Thread-safety is that of its superclass. */
    private static final class ResetDetectingEndPoint extends SocketChannelEndPoint {
        ResetDetectingEndPoint(
                SocketChannel channel,
                ManagedSelector selector,
                SelectionKey key,
                Scheduler scheduler) {
            super(channel, selector, key, scheduler);
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
                } else if (filled < 0) {
                    shutdownInput();
                }
                return filled;
            } catch (IOException e) {
                close(e);
                throw e;
            } finally {
                BufferUtil.flipToFlush(buffer, position);
            }
        }
    }
}
