package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.connection.HeadSeam;
import org.jacinthwharf.connection.ResetAwareChannel;
import org.jacinthwharf.connection.ServerAddress;
import org.jacinthwharf.id.RequestId;

/**
 * One connection to a backend server, with at most one request in flight.
 *
 * <p>Used on the event loop only. Invariants: data that arrives while no request is in flight, or
 * after the end of its answer, belongs to no request, and the connection is closed; the connection
 * is offered for reuse only after all data that was read together with the end of an answer has
 * been processed; it carries no id twice, and none after {@link CarriedIds#MAX_IDS}; a head that
 * another one runs into is no answer; the end of the connection ends no answer before the whole
 * request is written; a server that sends {@link #MAX_FRAMING_BYTES} without a head or a part of a
 * body is disconnected.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * Bound on bytes in a row that are neither a head nor part of a body: more than a head of
     * maximum size, and one read.
     */
    static final int MAX_FRAMING_BYTES = 256 << 10;

    /**
     * Maximum time for which a connection stays open after its server has closed it, which ended an
     * answer; longer than a {@link CrashCheck}, also if the event loop is held up.
     */
    private static final int MAX_LINGER_MS = 5_000;

    private final ServerPool mPool;
    private final ServerAddress mAddress;
    private final CarriedIds mCarried = new CarriedIds();
    private long mFramingBytes;
    private long mRequests;
    private ResetAwareChannel mChannel;
    private ExchangeListener mListener;
    private boolean mBusy;
    private boolean mDiscarding;

    /** The last bytes of the body that is discarded. */
    private String mDiscardedEnd = "";

    private boolean mAnswered;
    private boolean mHeadSeen;
    private boolean mRequestWritten;
    private boolean mReusable = true;
    private boolean mFailed;

    /** Whether the server has closed the connection, which ended the answer. */
    private boolean mEndedByClose;

    private long mIdleLimitNanos;
    private long mIdleSinceNanos;

    ServerConnection(ServerPool pool, ServerAddress address, long idleLimitNanos) {
        mPool = pool;
        mAddress = address;
        mIdleLimitNanos = idleLimitNanos;
    }

    ServerAddress address() {
        return mAddress;
    }

    void setChannel(ResetAwareChannel channel) {
        mChannel = channel;
    }

    /**
     * Sends a request; the connection must be idle and must not have carried the id.
     *
     * @return the write of the whole request
     */
    ChannelFuture send(FullHttpRequest request, RequestId id, ExchangeListener listener) {
        mRequests++;
        mCarried.add(id);
        mBusy = true;
        mAnswered = false;
        mHeadSeen = false;
        mRequestWritten = false;
        mFramingBytes = 0;
        mListener = listener;
        return mChannel.writeAndFlush(request)
                .addListener(
                        f -> {
                            mRequestWritten = f.isSuccess();
                            if (!mRequestWritten) {
                                onBroken("write failed: " + f.cause());
                            }
                        });
    }

    /** Returns whether a request with this id may have been sent on the connection. */
    boolean hasCarried(RequestId id) {
        return mCarried.contains(id);
    }

    private ConnectionUse use() {
        InetSocketAddress local = mChannel.localAddress();
        return new ConnectionUse(local == null ? 0 : local.getPort(), mRequests);
    }

    /**
     * Cancels the request in flight by resetting the connection. After an ordinary close, bytes
     * that wait in the socket, since the link to the server is cut, reach it when the link is back.
     */
    void cancel(ExchangeListener listener) {
        if (mListener == listener && mBusy) {
            mListener = null;
            if (mChannel.isActive()) {
                mChannel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
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

    /** Counts bytes before they are decoded; returns false if the connection was closed instead. */
    boolean onBytes(int count) {
        mFramingBytes += count;
        if (!mBusy) {
            mPool.countEvent("surplus_answer");
            onBroken("data without a request");
            return false;
        }
        if (mFramingBytes > MAX_FRAMING_BYTES) {
            mPool.countEvent("endless_answer");
            onBroken("no answer within " + MAX_FRAMING_BYTES + " bytes");
            return false;
        }
        return true;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                mPool.countEvent("malformed_answer");
                onBroken("malformed answer: " + object.decoderResult().cause());
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
            onBroken("an answer without a request");
            return;
        }
        if (hasSeam(head)) {
            mPool.countEvent("joined_answers");
            onBroken("the head of an answer within another");
            return;
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mDiscarding = true;
            return;
        }
        mHeadSeen = true;
        mFramingBytes = 0;
        updateKeepAlive(head);
        if (mListener != null && !mListener.onHead(head, use())) {
            mPool.countEvent("crossed_answer");
            mDiscarding = true;
            mDiscardedEnd = "";
            mReusable = false;
        }
    }

    /**
     * Returns whether the next bytes of a discarded body have a head, perhaps of the next answer.
     */
    private boolean hasSeam(ByteBuf data) {
        String text = mDiscardedEnd + data.toString(StandardCharsets.ISO_8859_1);
        mDiscardedEnd = text.substring(Math.max(0, text.length() - HeadSeam.LENGTH + 1));
        return HeadSeam.isIn(text);
    }

    private static boolean hasSeam(HttpResponse head) {
        return HeadSeam.isIn(head.status().reasonPhrase())
                || head.headers().entries().stream()
                        .anyMatch(h -> HeadSeam.isIn(h.getKey(), h.getValue()));
    }

    private void updateKeepAlive(HttpResponse head) {
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
        if (mDiscarding) {
            if (hasSeam(content.content())) {
                mPool.countEvent("joined_answers");
                onBroken("the head of an answer within that to another request");
                return;
            }
            mDiscarding = !last;
            return;
        }
        if (!mBusy || mAnswered || (last && mFailed)) {
            return;
        }
        if (mListener != null && content.content().isReadable()) {
            mFramingBytes = 0;
            mListener.onBody(content.content());
        }
        if (last && mHeadSeen) {
            onAnswerEnd();
        }
    }

    private void onAnswerEnd() {
        if (mChannel.isInputShutdown() && !mRequestWritten) {
            onBroken("closed by the server before it had the whole request");
            return;
        }
        mAnswered = true;
        ExchangeListener listener = mListener;
        mListener = null;
        if (listener != null) {
            listener.onEnd(ExchangeListener.ExchangeEnd.COMPLETE, "");
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mListener != null) {
            mListener.onReadComplete();
        }
        if (mBusy && mAnswered) {
            mBusy = false;
            if (mChannel.isInputShutdown()) {
                mEndedByClose = true;
                mChannel.eventLoop().schedule(this::close, MAX_LINGER_MS, TimeUnit.MILLISECONDS);
                return;
            }
            // A server that answers before it has received the whole request may never read the
            // rest.
            if (mReusable && mRequestWritten && !mCarried.isFull() && mChannel.isActive()) {
                mIdleSinceNanos = System.nanoTime();
                mChannel.config().setAutoRead(true);
                mPool.addIdle(this);
            } else {
                mChannel.close();
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mFailed = true;
        onBroken(cause.toString());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !mEndedByClose) {
            onBroken("closed by the server");
        }
    }

    /**
     * Closes a connection whose server has closed it, which ended an answer.
     *
     * @return false if the server has reset it after that, so the answer may be a part only
     */
    boolean tryCloseInOrder() {
        boolean inOrder = mChannel.isActive() && !mChannel.isReset();
        mChannel.close();
        return inOrder;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        onBroken("closed by the server");
    }

    private void onBroken(String cause) {
        mReusable = false;
        mPool.remove(this);
        ExchangeListener listener = mListener;
        mListener = null;
        if (mBusy && !mAnswered) {
            LOGGER.atFine().log(
                    "event=server_connection_broken server=%s cause='%s'", mAddress, cause);
        }
        mChannel.close();
        if (listener != null) {
            listener.onEnd(ExchangeListener.ExchangeEnd.BROKEN, cause);
        }
    }
}
