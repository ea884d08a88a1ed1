package org.jacinthwharf.process.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Function;

/**
 * One attempt of a call: passes on what its exchange brings for as long as the call goes on with
 * it.
 *
 * <p>Used on the event loop only. Invariant: nothing is passed on after the attempt has ended or
 * was cancelled, so that no call takes the bytes of one attempt for those of another. An attempt
 * may end while it is sent, since a write may fail at once.
 */
final class Attempt implements ExchangeListener {
    private final ExchangeListener mCall;

    /** Null until the request is sent. */
    private ServerPool.Exchange mExchange;

    private boolean mEnded;

    Attempt(ExchangeListener call) {
        mCall = call;
    }

    /** Sends the request by a function that takes the listener of the exchange. */
    void send(Function<ExchangeListener, ServerPool.Exchange> sender) {
        mExchange = sender.apply(this);
        if (mEnded) {
            mExchange.cancel();
        }
    }

    /** Cancels the request; the call hears nothing more of the attempt. */
    void cancel() {
        mEnded = true;
        if (mExchange != null) {
            mExchange.cancel();
        }
    }

    /** Returns whether any byte of the request may have left this process. */
    boolean isWriteBegun() {
        return mExchange == null ? mEnded : mExchange.isWriteBegun();
    }

    /** Returns whether all bytes of the request have left this process. */
    boolean isWritten() {
        return mExchange != null && mExchange.isWritten();
    }

    /** See {@link ServerConnection#tryCloseInOrder}. */
    boolean tryCloseInOrder() {
        return mExchange.tryCloseInOrder();
    }

    void setReading(boolean reading) {
        if (mExchange != null) {
            mExchange.setReading(reading);
        }
    }

    @Override
    public boolean onHead(HttpResponse head, ConnectionUse use) {
        return mEnded || mCall.onHead(head, use);
    }

    @Override
    public void onBody(ByteBuf data) {
        if (!mEnded) {
            mCall.onBody(data);
        }
    }

    @Override
    public void onReadComplete() {
        if (!mEnded) {
            mCall.onReadComplete();
        }
    }

    @Override
    public void onEnd(ExchangeEnd end, String cause) {
        if (!mEnded) {
            mEnded = true;
            mCall.onEnd(end, cause);
        }
    }
}
