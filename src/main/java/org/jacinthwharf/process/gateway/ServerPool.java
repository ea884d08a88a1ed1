package org.jacinthwharf.process.gateway;

import com.google.common.primitives.Longs;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.connection.ServerAddress;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;

/**
 * The pool of connections from a gateway to all backend servers.
 *
 * <p>Used on the event loop only. Invariant: a connection is not reused before the answer to its
 * previous request has ended.
 */
final class ServerPool {
    /** Connecting to a VM of the same region takes a few milliseconds if it succeeds at all. */
    private static final int CONNECT_TIMEOUT_MS = 700;

    /**
     * Idle limit for servers without a {@code Keep-Alive} timeout; they keep idle connections for
     * longer.
     */
    private static final long DEFAULT_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Fraction of the server's idle timeout after which a connection is not reused. */
    private static final double IDLE_FRACTION = 0.6;

    private static final int MAX_HEADER_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    /**
     * Bounds what is read of one server in a run of the event loop, so that tiny chunks without end
     * do not hold up the others.
     */
    private static final RecvByteBufAllocator READS =
            new AdaptiveRecvByteBufAllocator(64, 2 << 10, 16 << 10).maxMessagesPerRead(1);

    private final EventLoopGroup mGroup;
    private final EventLoop mLoop;
    private final FleetMetrics mMetrics;
    private final Map<ServerAddress, ArrayDeque<ServerConnection>> mIdle = new HashMap<>();

    ServerPool(EventLoopGroup group, EventLoop loop, FleetMetrics metrics) {
        mGroup = group;
        mLoop = loop;
        mMetrics = metrics;
    }

    /** One request in flight. Used on the event loop only. */
    final class Exchange {
        private final ExchangeListener mListener;
        private ServerConnection mConnection;
        private boolean mCancelled;

        Exchange(ExchangeListener listener) {
            mListener = listener;
        }

        /** Cancels the request; the listener is not called again. */
        void cancel() {
            mCancelled = true;
            if (mConnection != null) {
                mConnection.cancel(mListener);
            }
        }

        /** Discards the rest of the answer without calling the listener. */
        void discardAnswer() {
            if (mConnection != null) {
                mConnection.discardAnswer(mListener);
            }
        }

        void setReading(boolean reading) {
            if (mConnection != null && !mCancelled) {
                mConnection.setReading(reading);
            }
        }
    }

    /**
     * Sends a request to a server and releases its buffer.
     *
     * @param newConnection whether to open a new connection even if an idle one is available
     */
    Exchange send(
            ServerAddress address,
            FullHttpRequest request,
            RequestId id,
            boolean newConnection,
            ExchangeListener listener) {
        Exchange exchange = new Exchange(listener);
        ServerConnection idle = newConnection ? null : takeIdle(address);
        if (idle != null) {
            exchange.mConnection = idle;
            idle.send(request, id, listener);
        } else {
            connect(address, request, id, exchange);
        }
        return exchange;
    }

    private ServerConnection takeIdle(ServerAddress address) {
        ArrayDeque<ServerConnection> idle = mIdle.get(address);
        long now = mLoop.nowNanos();
        while (idle != null && !idle.isEmpty()) {
            ServerConnection c = idle.removeLast();
            if (c.isUsable(now)) {
                return c;
            }
            c.close();
        }
        return null;
    }

    private void connect(
            ServerAddress address, FullHttpRequest request, RequestId id, Exchange exchange) {
        mMetrics.countEvent("server_connection_opened");
        ServerConnection connection = new ServerConnection(this, address, DEFAULT_IDLE_NANOS);
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, READS)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        connection.setChannel(channel);
                                        channel.pipeline()
                                                .addLast(new AnswerBytes(connection))
                                                .addLast(codec())
                                                .addLast(connection);
                                    }
                                })
                        .connect(address.socketAddress());
        connecting.addListener(
                f -> {
                    if (exchange.mCancelled) {
                        request.release();
                        connecting.channel().close();
                    } else if (f.isSuccess()) {
                        exchange.mConnection = connection;
                        connection.send(request, id, exchange.mListener);
                    } else {
                        request.release();
                        exchange.mListener.onEnd(
                                ExchangeListener.ExchangeEnd.NOT_CONNECTED,
                                String.valueOf(f.cause()));
                    }
                });
    }

    private static HttpClientCodec codec() {
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES);
        return new HttpClientCodec(config, false, false);
    }

    void addIdle(ServerConnection connection) {
        mIdle.computeIfAbsent(connection.address(), a -> new ArrayDeque<>()).addLast(connection);
    }

    void remove(ServerConnection connection) {
        ArrayDeque<ServerConnection> idle = mIdle.get(connection.address());
        if (idle != null && idle.remove(connection) && idle.isEmpty()) {
            mIdle.remove(connection.address());
        }
    }

    /**
     * Closes connections that exceed their idle limit or are closed; called about once a second.
     */
    void closeExpired() {
        long now = mLoop.nowNanos();
        mIdle.values().stream()
                .flatMap(ArrayDeque::stream)
                .filter(c -> !c.isUsable(now))
                .toList()
                .forEach(ServerConnection::close);
    }

    /**
     * Returns how long a connection may stay idle.
     *
     * @param seconds the server's {@code Keep-Alive} timeout
     * @param current the limit to return if {@code seconds} is not a number
     */
    long idleLimitNanos(String seconds, long current) {
        Long timeoutSeconds = Longs.tryParse(seconds);
        return timeoutSeconds == null
                ? current
                : (long) (IDLE_FRACTION * TimeUnit.SECONDS.toNanos(Math.min(timeoutSeconds, 60)));
    }

    void countEvent(String name) {
        mMetrics.countEvent(name);
    }
}
