package org.jacinthwharf.process.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Hears what happens to one request at a backend server. Called on the event loop only. */
interface ExchangeListener {
    /** Why an exchange ended. */
    enum CompletionStatus {
        /** The answer is whole. */
        COMPLETE,
        /** No connection was made, so nothing was sent. */
        NOT_CONNECTED,
        /** The connection ended, or carried something that is no answer. */
        BROKEN
    }

    /** Takes the head of an answer; returns false if it belongs to another request. */
    boolean onHead(HttpResponse head);

    /** Takes a part of the body; the buffer belongs to the caller of this method. */
    void onBody(ByteBuf part);

    /** Hears that everything that arrived at once was handed over. */
    void onBatchEnd();

    /** Hears of the end, once, with a cause for logs. */
    void onEnd(CompletionStatus status, String cause);
}
