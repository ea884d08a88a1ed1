package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection to a backend server, with at most one request under way.
 *
 * <p>Used on the event loop only. Invariants: bytes that arrive while no request is under way, or
 * after the end of its answer, belong to no request, and the connection is closed; it is offered
 * for reuse only after everything that arrived with the end of an answer has been looked at.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ServerPool mPool;
    private final String mAddress;
    private Channel mChannel;
    private ExchangeListener mListener;
    private boolean mBusy;
    private boolean mSkipping;
    private boolean mAnswered;
    private boolean mHeadSeen;
    private boolean mWritten;
    private boolean mReusable = true;
    private boolean mReset;
    private long mIdleLimitNanos;
    private long mIdleSinceNanos;

    ServerConnection(ServerPool pool, String address, long idleLimitNanos) {
        mPool = pool;
        mAddress = address;
        mIdleLimitNanos = idleLimitNanos;
    }

    String address() {
        return mAddress;
    }

    void connected(Channel channel) {
        mChannel = channel;
    }

    /** Sends a request; the connection must be idle. */
    void send(FullHttpRequest request, ExchangeListener listener) {
        mBusy = true;
        mAnswered = false;
        mHeadSeen = false;
        mWritten = false;
        mListener = listener;
        mChannel.writeAndFlush(request)
                .addListener(
                        f -> {
                            mWritten = f.isSuccess();
                            if (!mWritten) {
                                broken("write failed: " + f.cause());
                            }
                        });
    }

    /** Lets the answer under way arrive without a listener, so that the connection can be kept. */
    void ignoreRest(ExchangeListener listener) {
        if (mListener == listener) {
            mListener = null;
        }
    }

    /** Ends the request under way by closing the connection. */
    void cancel(ExchangeListener listener) {
        if (mListener == listener && mBusy) {
            mListener = null;
            mChannel.close();
        }
    }

    void setReading(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    void close() {
        if (mChannel != null) {
            mChannel.close();
        }
    }

    boolean isUsable(long nowNanos) {
        return mChannel.isActive() && nowNanos - mIdleSinceNanos < mIdleLimitNanos;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                broken("not an answer: " + object.decoderResult().cause());
            } else {
                if (message instanceof HttpResponse head) {
                    onHead(head);
                }
                if (message instanceof HttpContent content) {
                    onContent(content);
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpResponse head) {
        if (!mBusy || mAnswered) {
            mPool.countEvent("surplus_answer");
            broken("an answer without a request");
            return;
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mSkipping = true;
            return;
        }
        mHeadSeen = true;
        noteKeepAlive(head);
        if (mListener != null && !mListener.onHead(head)) {
            mPool.countEvent("crossed_answer");
            mSkipping = true;
            mReusable = false;
        }
    }

    private void noteKeepAlive(HttpResponse head) {
        if (!HttpUtil.isKeepAlive(head)) {
            mReusable = false;
        }
        String value = head.headers().get("Keep-Alive");
        int at = value == null ? -1 : value.indexOf("timeout=");
        if (at >= 0) {
            String seconds = value.substring(at + "timeout=".length()).split("[,; ]", 2)[0];
            mIdleLimitNanos = mPool.idleLimitNanos(seconds, mIdleLimitNanos);
        }
    }

    private void onContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (mSkipping) {
            mSkipping = !last;
            return;
        }
        if (!mBusy || mAnswered || (last && mReset)) {
            return;
        }
        if (mListener != null && content.content().isReadable()) {
            mListener.onBody(content.content());
        }
        if (last && mHeadSeen) {
            mAnswered = true;
            ExchangeListener listener = mListener;
            mListener = null;
            if (listener != null) {
                listener.onEnd(ExchangeListener.CompletionStatus.COMPLETE, "");
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mListener != null) {
            mListener.onBatchEnd();
        }
        if (mBusy && mAnswered) {
            mBusy = false;
            // A server that answers before it has read the whole request may never read the rest.
            if (mReusable && mWritten && mChannel.isActive()) {
                mIdleSinceNanos = System.nanoTime();
                mChannel.config().setAutoRead(true);
                mPool.idle(this);
            } else {
                mChannel.close();
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mReset = true;
        broken(cause.toString());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        broken("closed by the server");
    }

    private void broken(String cause) {
        mReusable = false;
        mPool.closed(this);
        ExchangeListener listener = mListener;
        mListener = null;
        if (mBusy && !mAnswered) {
            LOGGER.atFine().log(
                    "event=server_connection_broken server=%s cause='%s'", mAddress, cause);
        }
        mChannel.close();
        if (listener != null) {
            listener.onEnd(ExchangeListener.CompletionStatus.BROKEN, cause);
        }
    }
}
