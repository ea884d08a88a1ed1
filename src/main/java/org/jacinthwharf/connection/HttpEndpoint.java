package org.jacinthwharf.connection;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jacinthwharf.id.LogText;

/**
 * Serves an HTTP API of the process itself: readiness, metrics, operator calls, announcements.
 *
 * <p>Thread-safe. Invariant: each request gets exactly one answer; if the service fails, it is
 * status 503 and the cause is logged.
 */
public final class HttpEndpoint implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Larger than a routing table with thousands of routes. */
    private static final int MAX_BODY_BYTES = 8 << 20;

    /** Bound on the bodies of all connections, of which up to eight large ones may come at once. */
    private static final long MAX_BODIES_BYTES = 24 << 20;

    /** Longer than the interval of announcements, so that their connections stay open. */
    private static final int IDLE_TIMEOUT_SECONDS = 30;

    private final EventLoopGroup mGroup;
    private final Function<HttpCall, CompletableFuture<HttpAnswer>> mService;
    private final Uploads mUploads =
            new Uploads(new BufferBudget(MAX_BODIES_BYTES), System::nanoTime);
    private Channel mListener;

    /**
     * Creates an endpoint that does not listen yet.
     *
     * @param group event loop group that serves the connections
     * @param service handles a request; called on the thread of its connection
     */
    public HttpEndpoint(
            EventLoopGroup group, Function<HttpCall, CompletableFuture<HttpAnswer>> service) {
        mGroup = group;
        mService = service;
    }

    /**
     * Starts listening.
     *
     * @throws IOException if the address cannot be bound
     */
    public void listen(InetSocketAddress address) throws IOException {
        mListener = ListeningPort.open(mGroup, address, new PipelineInitializer());
    }

    /** Stops listening; open connections are closed with the group. */
    @Override
    public void close() {
        if (mListener != null) {
            mListener.close();
        }
    }

    private final class PipelineInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpServerKeepAliveHandler())
                    .addLast(new RequestAssembler(mUploads, MAX_BODY_BYTES))
                    .addLast(new CallHandler());
        }
    }

    private final class CallHandler extends SimpleChannelInboundHandler<Object> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, Object message) {
            if (message instanceof RefusedUpload u) {
                boolean tooLarge = u.cause() == RefusedUpload.Cause.TOO_LARGE;
                write(context, HttpAnswer.text(tooLarge ? 413 : 503, "body not read\n"));
            } else if (message instanceof FullHttpRequest request) {
                onRequest(context, request);
            }
        }

        private void onRequest(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                write(context, HttpAnswer.text(400, "malformed request\n"));
                return;
            }
            HttpCall call =
                    new HttpCall(
                            request.method().name(),
                            HttpCall.stripQuery(request.uri()),
                            ByteBufUtil.getBytes(request.content()));
            apply(call)
                    .whenComplete(
                            (answer, failure) ->
                                    context.executor()
                                            .execute(
                                                    () ->
                                                            complete(
                                                                    context, call, answer,
                                                                    failure)));
        }

        /** Calls the service; an exception that it throws fails this call only. */
        private CompletableFuture<HttpAnswer> apply(HttpCall call) {
            try {
                return mService.apply(call);
            } catch (RuntimeException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        private void complete(
                ChannelHandlerContext context,
                HttpCall call,
                HttpAnswer answer,
                Throwable failure) {
            if (failure != null) {
                LOGGER.atWarning().withCause(failure).log(
                        "event=call_failed method=%s path=%s",
                        LogText.of(call.method()), LogText.of(call.path()));
            }
            write(context, failure == null ? answer : HttpAnswer.text(503, "failed\n"));
        }

        private void write(ChannelHandlerContext context, HttpAnswer answer) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(answer.status()),
                            Unpooled.wrappedBuffer(answer.body()));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, answer.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
            answer.location().ifPresent(l -> response.headers().set(HttpHeaderNames.LOCATION, l));
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            context.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOGGER.atFine().log("event=call_connection_failed cause='%s'", cause);
            context.close();
        }
    }
}
