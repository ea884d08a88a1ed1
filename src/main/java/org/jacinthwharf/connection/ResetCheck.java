package org.jacinthwharf.connection;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/**
 * Tells a reset that follows the end of the input of a connection.
 *
 * <p>Stateless and thread-safe. A peer that closes before it has read everything ends its output in
 * order and resets the connection right after that. Reads report the end alone.
 */
public final class ResetCheck {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private ResetCheck() {}

    /**
     * Returns whether the peer has reset a connection, as far as this VM has heard; also if that
     * cannot be found out. Opens a selector each time.
     *
     * @param channel connected channel in non-blocking mode
     */
    public static boolean isReset(SocketChannel channel) {
        try (Selector selector = Selector.open()) {
            // A connected channel is selected for this operation only if it has an error.
            channel.register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        } catch (IOException e) {
            LOGGER.atInfo().log("event=reset_unknown cause='%s'", e);
            return true;
        }
    }
}
