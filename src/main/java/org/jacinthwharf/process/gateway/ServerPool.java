package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.common.primitives.Longs;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jacinthwharf.connection.ResetAwareChannel;
import org.jacinthwharf.connection.ServerAddress;
import org.jacinthwharf.connection.StrictHttpClientCodec;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;

/**
 * The pool of connections from a gateway to all backend servers.
 *
 * <p>Used on the event loop only. Invariants: a connection is not reused before the answer to its
 * previous request has ended, nor for an id that it has carried, since only the id tells an answer
 * from a late one to an earlier request; where idle connections exist, an id that comes again opens
 * a connection only in place of one of them, at a limited rate.
 */
final class ServerPool {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Connecting to a VM of the same region takes a few milliseconds if it succeeds at all. */
    private static final int CONNECT_TIMEOUT_MS = 700;

    /**
     * Idle limit for servers without a {@code Keep-Alive} timeout; they keep idle connections for
     * longer.
     */
    private static final long DEFAULT_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Fraction of the server's idle timeout after which a connection is not reused. */
    private static final double IDLE_FRACTION = 0.6;

    /** Never filled. */
    private static final ArrayDeque<ServerConnection> NO_CONNECTIONS = new ArrayDeque<>();

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
    private final ReplacementRate mReplacements;
    private final Map<ServerAddress, ArrayDeque<ServerConnection>> mIdle = new HashMap<>();

    ServerPool(
            EventLoopGroup group,
            EventLoop loop,
            FleetMetrics metrics,
            ReplacementRate replacements) {
        mGroup = group;
        mLoop = loop;
        mMetrics = metrics;
        mReplacements = replacements;
    }

    /** One request in flight. Used on the event loop only. */
    final class Exchange {
        private final ExchangeListener mListener;

        /** Null if an idle connection is used. */
        private Channel mConnecting;

        /** Null until the request is written. */
        private ServerConnection mConnection;

        /** Null until the request is written. */
        private ChannelFuture mWrite;

        private boolean mCancelled;

        Exchange(ExchangeListener listener) {
            mListener = listener;
        }

        /** Cancels the request; the listener is not called again. */
        void cancel() {
            mCancelled = true;
            if (mConnection != null) {
                mConnection.cancel(mListener);
            } else if (mConnecting != null) {
                mConnecting.close();
            }
        }

        /** Returns whether any byte of the request may have left this process. */
        boolean isWriteBegun() {
            return mWrite != null;
        }

        /** Returns whether all bytes of the request have left this process. */
        boolean isWritten() {
            return mWrite != null && mWrite.isSuccess();
        }

        /** See {@link ServerConnection#tryCloseInOrder}. */
        boolean tryCloseInOrder() {
            return mConnection.tryCloseInOrder();
        }

        /** Builds and writes the request, unless it must not be sent any more. */
        private void write(
                ServerConnection connection,
                Supplier<Optional<FullHttpRequest>> request,
                RequestId id) {
            Optional<FullHttpRequest> built = request.get();
            if (built.isPresent()) {
                mConnection = connection;
                mWrite = connection.send(built.get(), id, mListener);
                return;
            }
            connection.close();
            if (!mCancelled) {
                mListener.onEnd(ExchangeListener.ExchangeEnd.NOT_SENT, "not sent");
            }
        }

        void setReading(boolean reading) {
            if (mConnection != null && !mCancelled) {
                mConnection.setReading(reading);
            }
        }
    }

    /**
     * Returns whether a request with this id can be sent now: not if all idle connections have
     * carried the id, and too many were replaced for that reason. Closes expired connections.
     */
    boolean canSend(ServerAddress address, RequestId id) {
        return findIdle(address, id).connection().isPresent()
                || idle(address).isEmpty()
                || mReplacements.allows(address, id, mLoop.nowNanos());
    }

    /**
     * Sends a request to a server and releases its buffer.
     *
     * @param request builds the request, once, when a connection can take it, so that it states the
     *     time that remains then; empty if it must not be sent any more
     */
    Exchange send(
            ServerAddress address,
            Supplier<Optional<FullHttpRequest>> request,
            RequestId id,
            ExchangeListener listener) {
        Exchange exchange = new Exchange(listener);
        IdleChoice choice = findIdle(address, id);
        if (choice.passedOver()) {
            mMetrics.countEvent("request_id_repeated");
            LOGGER.atInfo().log(
                    "event=request_id_repeated request=%s server=%s replaced=%b",
                    id, address, choice.connection().isEmpty());
        }
        if (choice.connection().isPresent()) {
            ServerConnection idle = choice.connection().get();
            remove(idle);
            exchange.write(idle, request, id);
        } else {
            if (choice.passedOver()) {
                replaceOldestIdle(address, id);
            }
            connect(address, request, id, exchange);
        }
        return exchange;
    }

    /**
     * The idle connection to use for a request, if any.
     *
     * @param passedOver whether others were not chosen because they have carried its id
     */
    private record IdleChoice(Optional<ServerConnection> connection, boolean passedOver) {}

    /** Returns the newest idle connection that has not carried an id; closes expired ones. */
    private IdleChoice findIdle(ServerAddress address, RequestId id) {
        long now = mLoop.nowNanos();
        boolean passedOver = false;
        Iterator<ServerConnection> newestFirst = idle(address).descendingIterator();
        while (newestFirst.hasNext()) {
            ServerConnection c = newestFirst.next();
            if (!c.isUsable(now)) {
                newestFirst.remove();
                c.close();
            } else if (c.hasCarried(id)) {
                passedOver = true;
            } else {
                return new IdleChoice(Optional.of(c), passedOver);
            }
        }
        return new IdleChoice(Optional.empty(), passedOver);
    }

    private ArrayDeque<ServerConnection> idle(ServerAddress address) {
        return mIdle.getOrDefault(address, NO_CONNECTIONS);
    }

    /** Closes an idle connection in whose place another one is opened for an id. */
    private void replaceOldestIdle(ServerAddress address, RequestId id) {
        ServerConnection oldest = idle(address).getFirst();
        remove(oldest);
        oldest.close();
        mMetrics.countEvent("server_connection_replaced");
        mReplacements.onReplaced(address, id, mLoop.nowNanos());
    }

    private void connect(
            ServerAddress address,
            Supplier<Optional<FullHttpRequest>> request,
            RequestId id,
            Exchange exchange) {
        mMetrics.countEvent("server_connection_opened");
        ServerConnection connection = new ServerConnection(this, address, DEFAULT_IDLE_NANOS);
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mGroup)
                        .channel(ResetAwareChannel.class)
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, READS)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(
                                new ChannelInitializer<ResetAwareChannel>() {
                                    @Override
                                    protected void initChannel(ResetAwareChannel channel) {
                                        connection.setChannel(channel);
                                        channel.pipeline()
                                                .addLast(new AnswerBytes(connection))
                                                .addLast(codec())
                                                .addLast(connection);
                                    }
                                })
                        .connect(address.socketAddress());
        exchange.mConnecting = connecting.channel();
        connecting.addListener(
                f -> {
                    if (exchange.mCancelled) {
                        connecting.channel().close();
                    } else if (f.isSuccess()) {
                        exchange.write(connection, request, id);
                    } else {
                        exchange.mListener.onEnd(
                                ExchangeListener.ExchangeEnd.NOT_CONNECTED,
                                String.valueOf(f.cause()));
                    }
                });
    }

    private static StrictHttpClientCodec codec() {
        return new StrictHttpClientCodec(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES));
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
        mIdle.values().removeIf(ArrayDeque::isEmpty);
        mReplacements.removeExpired(now);
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
