package org.jacinthwharf.process.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer to one request to a backend server. Called on the event loop only. */
interface ExchangeListener {
    /** Why an exchange ended. */
    enum CompletionStatus {
        /** The answer is complete. */
        COMPLETE,
        /** No connection was established, so nothing was sent. */
        NOT_CONNECTED,
        /** The connection was closed, or its data is not a valid answer. */
        BROKEN
    }

    /** Is called with the head of an answer; returns false if it belongs to another request. */
    boolean onHead(HttpResponse head);

    /** Is called with body data; the buffer remains owned by the caller of this method. */
    void onBody(ByteBuf data);

    /** Is called when all data of one read from the socket has been passed on. */
    void onReadComplete();

    /** Is called once at the end, with a cause for logs. */
    void onEnd(CompletionStatus status, String cause);
}
