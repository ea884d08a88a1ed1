package org.jacinthwharf.connection;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/**
 * A connection that knows of a reset after the end of its input.
 *
 * <p>Used on its event loop only. A peer that closes before it has read everything ends its output
 * in order and resets the connection right after that. Reads report the end alone.
 */
public final class ResetAwareChannel extends NioSocketChannel {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * Returns whether the peer has reset the connection, as far as this VM has heard; also if that
     * cannot be found out. Opens a selector each time.
     */
    public boolean isReset() {
        try (Selector selector = Selector.open()) {
            // A connected channel is selected for this operation only if it has an error.
            javaChannel().register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        } catch (IOException e) {
            LOGGER.atInfo().log("event=reset_unknown cause='%s'", e);
            return true;
        }
    }
}
