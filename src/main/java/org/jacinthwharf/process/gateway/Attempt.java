package org.jacinthwharf.process.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.function.Function;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.process.moves.EvidenceSink.AttemptResult;

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
    private final Optional<PoolId> mPool;
    private final AttemptTimes mTimes;

    /** Null until the request is sent. */
    private ServerPool.Exchange mExchange;

    private boolean mEnded;
    private boolean mReading = true;

    /**
     * Creates an attempt that is not sent yet.
     *
     * @param pool the version that it counts for, if any
     */
    Attempt(ExchangeListener call, Optional<PoolId> pool, AttemptTimes times) {
        mCall = call;
        mPool = pool;
        mTimes = times;
    }

    Optional<PoolId> pool() {
        return mPool;
    }

    AttemptTimes times() {
        return mTimes;
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

    /**
     * Returns what the attempt says about its version if the call gives it up now.
     *
     * @param isServerSilent whether the server, or the way to it, may be lost
     */
    AttemptResult resultIfGivenUp(boolean isServerSilent) {
        if (!isWritten() || !mReading || isServerSilent) {
            return AttemptResult.INCONCLUSIVE;
        }
        return mTimes.isAnswered() ? AttemptResult.COMPLETE : AttemptResult.UNANSWERED;
    }

    /** See {@link ServerConnection#tryCloseInOrder}. */
    boolean tryCloseInOrder() {
        return mExchange.tryCloseInOrder();
    }

    /** Returns whether the call takes what the server sends. */
    boolean isReading() {
        return mReading;
    }

    void setReading(boolean reading) {
        mReading = reading;
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
