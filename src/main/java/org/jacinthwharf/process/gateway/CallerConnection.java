package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * One connection of a caller, with one request under way and a few that wait behind it.
 *
 * <p>Used on the event loop only. It goes on reading while an answer is pending, since only that
 * shows that the caller has left. Invariants: answers leave in the order of the requests; an answer
 * that ends early closes the connection, so that it cannot look complete.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Requests that a caller may send ahead; more are left in the socket. */
    private static final int MAX_AHEAD = 4;

    /** Hears of a caller's requests. */
    interface RequestSink {
        /** Takes a request; the sink releases it. */
        CallerLeft onRequest(FullHttpRequest request, CallerConnection caller);
    }

    /** Hears what happens to the caller of a request under way. */
    interface CallerLeft {
        /** Hears that the caller closed its connection. */
        void onCallerGone();

        /** Hears that the caller reads again, or not fast enough. */
        void onWritable(boolean writable);
    }

    private final RequestSink mSink;
    private final BooleanSupplier mDraining;
    private final Consumer<CallerConnection> mOnClosed;
    private final ArrayDeque<FullHttpRequest> mAhead = new ArrayDeque<>();
    private Channel mChannel;
    private CallerLeft mCurrent;
    private boolean mBusy;
    private boolean mKeepAlive;
    private long mIdleSinceNanos = System.nanoTime();

    /**
     * Creates the handler of a new connection.
     *
     * @param draining whether answers must close their connections
     */
    CallerConnection(
            RequestSink sink, BooleanSupplier draining, Consumer<CallerConnection> onClosed) {
        mSink = sink;
        mDraining = draining;
        mOnClosed = onClosed;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof FullHttpRequest request)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (request.decoderResult().isFailure()) {
            refuseMalformed(request);
            return;
        }
        mAhead.addLast(request);
        if (mAhead.size() >= MAX_AHEAD) {
            mChannel.config().setAutoRead(false);
        }
        next();
    }

    private void refuseMalformed(HttpObject request) {
        Throwable cause = request.decoderResult().cause();
        boolean tooLong =
                cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException;
        LOGGER.atInfo().log("event=call_malformed cause='%s'", cause);
        ReferenceCountUtil.release(request);
        mKeepAlive = false;
        mBusy = true;
        answer(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        tooLong
                                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                                : HttpResponseStatus.BAD_REQUEST,
                        Unpooled.EMPTY_BUFFER));
    }

    private void next() {
        while (!mBusy && !mAhead.isEmpty() && mChannel.isActive()) {
            FullHttpRequest request = mAhead.removeFirst();
            mBusy = true;
            mKeepAlive = HttpUtil.isKeepAlive(request);
            CallerLeft call = mSink.onRequest(request, this);
            // The answer may have been written already.
            if (mBusy) {
                mCurrent = call;
            }
        }
        if (mAhead.isEmpty() && !mChannel.config().isAutoRead()) {
            mChannel.config().setAutoRead(true);
        }
    }

    /** Writes a whole answer. */
    void answer(FullHttpResponse response) {
        setConnectionHeaders(response);
        response.headers()
                .remove(HttpHeaderNames.TRANSFER_ENCODING)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        mChannel.writeAndFlush(response);
        finished();
    }

    /** Writes the head of an answer whose body follows in parts. */
    void startStream(HttpResponse head) {
        setConnectionHeaders(head);
        head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        HttpUtil.setTransferEncodingChunked(head, true);
        mChannel.write(head);
    }

    /** Writes a part of the body; takes over the buffer. */
    void write(ByteBuf part) {
        mChannel.write(new DefaultHttpContent(part));
    }

    void flush() {
        mChannel.flush();
    }

    /** Ends an answer in parts as complete. */
    void endStream() {
        mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        finished();
    }

    /** Ends the connection, because the answer cannot be completed. */
    void abort() {
        mCurrent = null;
        mChannel.close();
    }

    boolean isWritable() {
        return mChannel.isWritable();
    }

    private void setConnectionHeaders(HttpResponse response) {
        mKeepAlive &= !mDraining.getAsBoolean();
        response.headers().remove(HttpHeaderNames.CONNECTION).remove("Keep-Alive");
        if (!mKeepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void finished() {
        mCurrent = null;
        mBusy = false;
        mIdleSinceNanos = System.nanoTime();
        if (!mKeepAlive) {
            mBusy = true;
            mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> mChannel.close());
            return;
        }
        mChannel.eventLoop().execute(this::next);
    }

    /** Returns since when no request is under way, or the latest time if one is. */
    long idleSinceNanos() {
        return mBusy ? Long.MAX_VALUE : mIdleSinceNanos;
    }

    /** Closes a connection without a request. */
    void close() {
        mChannel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mAhead.forEach(ReferenceCountUtil::release);
        mAhead.clear();
        mOnClosed.accept(this);
        CallerLeft current = mCurrent;
        mCurrent = null;
        if (current != null) {
            current.onCallerGone();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mCurrent != null) {
            mCurrent.onWritable(mChannel.isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.atFine().log("event=caller_connection_failed cause='%s'", cause);
        context.close();
    }
}
