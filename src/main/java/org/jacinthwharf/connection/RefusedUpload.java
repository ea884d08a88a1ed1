package org.jacinthwharf.connection;

import io.netty.handler.codec.http.HttpRequest;

/**
 * A request whose body is not read, since it is too large or there is no memory for it.
 *
 * <p>Immutable.
 *
 * @param head method, path and headers
 * @param cause why the body is not read
 */
public record RefusedUpload(HttpRequest head, Cause cause) {
    /** Why a body is not read. */
    public enum Cause {
        /** The body is longer than the limit. */
        TOO_LARGE,
        /** Other bodies hold the memory. */
        NO_MEMORY,
        /** The body did not arrive while others needed the memory. */
        STALLED
    }
}
