package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jacinthwharf.connection.RefusedUpload;
import org.jacinthwharf.connection.RequestAssembler;

/**
 * One connection from a caller, with one request in flight and a few pipelined ones.
 *
 * <p>Used on the event loop only. Keeps reading while an answer is pending, up to {@link
 * #MAX_PIPELINED} queued requests, since only a read detects that the caller has closed the
 * connection. Invariants: answers are sent in the order of the requests; if an answer cannot be
 * completed, the connection is closed, so that the caller detects the truncation; a request is not
 * handled if its caller had closed the connection when it was read.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Maximum number of pipelined requests; at this number, reading from the socket stops. */
    private static final int MAX_PIPELINED = 4;

    /** Handles the requests of callers. */
    interface RequestHandler {
        /** Handles a request and releases it. */
        CallerListener onRequest(FullHttpRequest request, CallerConnection caller);

        /** Answers a request whose body is not read. */
        default void onRefusedUpload(RefusedUpload upload, CallerConnection caller) {
            caller.close();
        }

        /** Answers a request whose handling failed before it was sent to a server. */
        default void onFault(FullHttpRequest request, CallerConnection caller) {
            caller.close();
        }
    }

    /** Receives changes of the state of the caller of a request in flight. */
    interface CallerListener {
        /** Called when the caller has closed its connection. */
        void onCallerGone();

        /** Called when the connection becomes writable or stops being writable. */
        void onWritabilityChanged(boolean writable);
    }

    private final RequestHandler mHandler;
    private final BooleanSupplier mDraining;
    private final Consumer<CallerConnection> mOnClosed;

    /** Each is a {@code FullHttpRequest} or a {@link RefusedUpload}. */
    private final ArrayDeque<Object> mPipelined = new ArrayDeque<>();

    private Channel mChannel;
    private CallerListener mCurrentListener;
    private boolean mBusy;
    private boolean mKeepAlive;
    private long mIdleSinceNanos = System.nanoTime();

    /**
     * Creates the handler of a new connection.
     *
     * @param draining whether connections are closed after the next answer
     */
    CallerConnection(
            RequestHandler handler, BooleanSupplier draining, Consumer<CallerConnection> onClosed) {
        mHandler = handler;
        mDraining = draining;
        mOnClosed = onClosed;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof FullHttpRequest || message instanceof RefusedUpload)) {
            ReferenceCountUtil.release(message);
            return;
        }
        mPipelined.addLast(message);
        if (mPipelined.size() >= MAX_PIPELINED) {
            mChannel.config().setAutoRead(false);
        }
    }

    /**
     * Handles what was read once it is known whether the caller has closed the connection, which
     * the channel reports only after this method.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (!mBusy && !mPipelined.isEmpty()) {
            mChannel.eventLoop().execute(this::handleNext);
        }
    }

    private void refuseMalformed(FullHttpRequest request) {
        Throwable cause = request.decoderResult().cause();
        boolean tooLong =
                cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException;
        LOGGER.atInfo().log("event=call_malformed cause='%s'", cause);
        request.release();
        mKeepAlive = false;
        answer(
                EmptyAnswers.of(
                        tooLong
                                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE.code()
                                : HttpResponseStatus.BAD_REQUEST.code()));
    }

    private void handleNext() {
        while (!mBusy && !mPipelined.isEmpty() && mChannel.isActive()) {
            Object next = mPipelined.removeFirst();
            mBusy = true;
            if (next instanceof RefusedUpload upload) {
                mKeepAlive = HttpUtil.isKeepAlive(upload.head());
                mHandler.onRefusedUpload(upload, this);
            } else if (next instanceof FullHttpRequest request) {
                handle(request);
            }
        }
        if (mPipelined.isEmpty() && !mChannel.config().isAutoRead()) {
            mChannel.config().setAutoRead(true);
        }
    }

    private void handle(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            refuseMalformed(request);
            return;
        }
        mKeepAlive = HttpUtil.isKeepAlive(request);
        try {
            CallerListener call = mHandler.onRequest(request, this);
            // The answer may have been written already.
            if (mBusy) {
                mCurrentListener = call;
            }
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).log("event=request_fault");
            // A call contains its own faults, so none has begun, and nothing was sent.
            mHandler.onFault(request, this);
            ReferenceCountUtil.safeRelease(request);
        }
    }

    /** Writes a complete answer. */
    void answer(FullHttpResponse response) {
        setConnectionHeaders(response);
        response.headers()
                .remove(HttpHeaderNames.TRANSFER_ENCODING)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        mChannel.writeAndFlush(response);
        finishAnswer();
    }

    /** Writes the status line and headers of an answer whose body is streamed. */
    void startStream(HttpResponse head) {
        setConnectionHeaders(head);
        head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        HttpUtil.setTransferEncodingChunked(head, true);
        mChannel.write(head);
    }

    /** Writes body data; takes ownership of the buffer. */
    void write(ByteBuf data) {
        mChannel.write(new DefaultHttpContent(data));
    }

    void flush() {
        mChannel.flush();
    }

    /** Completes a streamed answer. */
    void endStream() {
        mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        finishAnswer();
    }

    /** Closes the connection, because the answer cannot be completed. */
    void abort() {
        mCurrentListener = null;
        mChannel.close();
    }

    boolean isWritable() {
        return mChannel.isWritable();
    }

    private void setConnectionHeaders(HttpResponse response) {
        // Requests that were read already are answered before the connection is closed.
        mKeepAlive &= !mDraining.getAsBoolean() || !mPipelined.isEmpty();
        response.headers().remove(HttpHeaderNames.CONNECTION).remove("Keep-Alive");
        if (!mKeepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void finishAnswer() {
        mCurrentListener = null;
        mBusy = false;
        mIdleSinceNanos = System.nanoTime();
        if (!mKeepAlive) {
            mBusy = true;
            mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> mChannel.close());
            return;
        }
        mChannel.eventLoop().execute(this::handleNext);
    }

    /**
     * Returns since when nothing has happened on the connection, or {@code Long.MAX_VALUE} if a
     * request is in flight. While a body arrives, that is since its last bytes.
     */
    long idleSinceNanos() {
        if (mBusy || !mPipelined.isEmpty()) {
            return Long.MAX_VALUE;
        }
        return receiving().map(RequestAssembler::lastProgressNanos).orElse(mIdleSinceNanos);
    }

    /** Returns whether a part of a request has arrived whose rest is due. */
    boolean isReceiving() {
        return receiving().isPresent();
    }

    private Optional<RequestAssembler> receiving() {
        return Optional.ofNullable(mChannel.pipeline().get(RequestAssembler.class))
                .filter(RequestAssembler::isReceiving);
    }

    /** Closes an idle connection. */
    void close() {
        mChannel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mPipelined.forEach(ReferenceCountUtil::release);
        mPipelined.clear();
        mOnClosed.accept(this);
        CallerListener current = mCurrentListener;
        mCurrentListener = null;
        if (current != null) {
            current.onCallerGone();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mCurrentListener != null) {
            mCurrentListener.onWritabilityChanged(mChannel.isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.atFine().log("event=caller_connection_failed cause='%s'", cause);
        context.close();
    }
}
