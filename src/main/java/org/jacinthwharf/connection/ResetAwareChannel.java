package org.jacinthwharf.connection;

import io.netty.channel.socket.nio.NioSocketChannel;

/** A connection that knows of a reset after the end of its input. Used on its event loop only. */
public final class ResetAwareChannel extends NioSocketChannel {
    /** See {@link ResetCheck#isReset}. */
    public boolean isReset() {
        return ResetCheck.isReset(javaChannel());
    }
}
