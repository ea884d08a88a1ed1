package org.jacinthwharf.process.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer to one request to a backend server. Called on the event loop only. */
interface ExchangeListener {
    /** Why an exchange ended. */
    enum ExchangeEnd {
        /** The answer is complete. */
        COMPLETE,
        /** No connection was established, so nothing was sent. */
        NOT_CONNECTED,
        /** The request was no longer to be sent when it could be written, so nothing was sent. */
        NOT_SENT,
        /** The connection was closed, or its data is not a valid answer. */
        BROKEN
    }

    /**
     * Called with the status line and headers of an answer; returns false if it belongs to another
     * request.
     *
     * @param use the request in flight on its connection; an answer on a connection that has
     *     carried others may belong to one of them
     */
    boolean onHead(HttpResponse head, ConnectionUse use);

    /**
     * Called with body data; the buffer is valid only until this method returns, unless retained.
     */
    void onBody(ByteBuf data);

    /** Called when all data of one read from the socket has been passed on. */
    void onReadComplete();

    /** Called once at the end, with a cause for logs. */
    void onEnd(ExchangeEnd end, String cause);
}
