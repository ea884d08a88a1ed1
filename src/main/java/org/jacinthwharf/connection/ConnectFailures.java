package org.jacinthwharf.connection;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/** Tells apart why a connection could not be opened. Stateless and thread-safe. */
public final class ConnectFailures {
    private ConnectFailures() {}

    /**
     * Returns whether the VM refused the connection, so that no process listens at the address; a
     * VM that is down or cut off does not answer.
     */
    public static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }
}
