package org.jacinthwharf.connection;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.Hello;

/**
 * Opens and accepts the links of one process.
 *
 * <p>Thread-safe. Invariant: listeners run on the process's event loop only. One Netty thread
 * serves all links, since control traffic is a few KB/s.
 */
public final class Links implements AutoCloseable {
    /** A link that receives no data for this long is closed and reopened. */
    public static final Duration SILENCE_LIMIT = Duration.ofSeconds(2);

    static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(250);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    // A snapshot of the control state is sent in one frame.
    private static final int MAX_FRAME_BYTES = 64 << 20;
    private static final int FRAME_LENGTH_BYTES = 4;
    // Above the high-water mark messages are dropped; protocols resend those that matter. Below it
    // one message of any size is accepted.
    private static final WriteBufferWaterMark SEND_BUFFER =
            new WriteBufferWaterMark(1 << 20, 4 << 20);

    /** Bound on the unsent bytes of all links, above which large messages are dropped. */
    private static final long MAX_UNSENT_BYTES = 16 << 20;

    /** Messages that make up nearly all bytes: configurations and snapshots. */
    private static final int LARGE_MESSAGE_BYTES = 64 << 10;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Hello mSelf;
    private final EventLoop mLoop;
    private final FleetMetrics mMetrics;
    private final EventLoopGroup mGroup;
    private final boolean mOwnsGroup;
    private final Set<Channel> mChannels = ConcurrentHashMap.newKeySet();
    private volatile boolean mClosed;

    /** Creates the links of the process that {@code self} describes, on their own thread. */
    public Links(Hello self, EventLoop loop, FleetMetrics metrics) {
        this(
                self,
                loop,
                metrics,
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()),
                true);
    }

    /** Creates links on the thread of {@code group}, which the caller closes. */
    public Links(Hello self, EventLoop loop, FleetMetrics metrics, EventLoopGroup group) {
        this(self, loop, metrics, group, false);
    }

    private Links(
            Hello self,
            EventLoop loop,
            FleetMetrics metrics,
            EventLoopGroup group,
            boolean ownsGroup) {
        mSelf = self;
        mLoop = loop;
        mMetrics = metrics;
        mGroup = group;
        mOwnsGroup = ownsGroup;
    }

    /**
     * Accepts links at {@code address}.
     *
     * @return completes when the port is bound, or fails with the cause
     */
    public CompletableFuture<Void> accept(InetSocketAddress address, LinkListener listener) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, SEND_BUFFER)
                        .childOption(ChannelOption.ALLOCATOR, PooledByteBufAllocator.DEFAULT)
                        .childHandler(new PipelineInitializer(listener))
                        .bind(address);
        CompletableFuture<Void> result = new CompletableFuture<>();
        bound.addListener(
                f -> {
                    if (f.isSuccess()) {
                        result.complete(null);
                    } else {
                        result.completeExceptionally(f.cause());
                    }
                });
        return result;
    }

    /** Keeps a link to {@code address} open until {@link #close}, reconnecting when it closes. */
    public void keepOpen(InetSocketAddress address, LinkListener listener) {
        keepOpen(address, listener, () -> true);
    }

    /**
     * Keeps a link to {@code address} open while {@code wanted} returns true.
     *
     * @param wanted evaluated before each connection attempt
     */
    public void keepOpen(InetSocketAddress address, LinkListener listener, BooleanSupplier wanted) {
        keepOpen(address, listener, wanted, () -> {});
    }

    /**
     * Keeps a link to {@code address} open while {@code wanted} returns true.
     *
     * @param wanted evaluated before each connection attempt
     * @param onRefused called on the event loop each time that the VM refuses the connection
     */
    public void keepOpen(
            InetSocketAddress address,
            LinkListener listener,
            BooleanSupplier wanted,
            Runnable onRefused) {
        if (mClosed || !wanted.getAsBoolean()) {
            return;
        }
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, SEND_BUFFER)
                        .handler(new PipelineInitializer(listener))
                        .connect(address);
        connecting.addListener(
                f -> {
                    if (!mClosed && ConnectFailures.isRefusal(f.cause())) {
                        mLoop.execute(onRefused);
                    }
                });
        connecting
                .channel()
                .closeFuture()
                .addListener(
                        f -> {
                            LOGGER.atFine().log("event=link_closed address=%s", address);
                            reconnectLater(() -> keepOpen(address, listener, wanted, onRefused));
                        });
    }

    private void reconnectLater(Runnable connect) {
        if (!mClosed && !mGroup.isShuttingDown()) {
            mGroup.schedule(connect, RECONNECT_DELAY.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Closes all links; listeners are not notified of anything after that. */
    @Override
    public void close() {
        mClosed = true;
        mChannels.forEach(Channel::close);
        if (mOwnsGroup) {
            mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private final class PipelineInitializer extends ChannelInitializer<SocketChannel> {
        private final LinkListener mListener;

        PipelineInitializer(LinkListener listener) {
            mListener = listener;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            initPipeline(channel, mListener);
        }
    }

    /**
     * Returns whether a message may be sent. A large one is sent in any case if nothing else waits,
     * so that a snapshot of any size arrives.
     */
    private boolean hasRoomFor(Envelope message) {
        if (message.getSerializedSize() <= LARGE_MESSAGE_BYTES) {
            return true;
        }
        long unsent = mChannels.stream().mapToLong(Links::unsentBytes).sum();
        return unsent == 0 || unsent + message.getSerializedSize() <= MAX_UNSENT_BYTES;
    }

    private static long unsentBytes(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    private void initPipeline(Channel channel, LinkListener listener) {
        mChannels.add(channel);
        channel.closeFuture().addListener(f -> mChannels.remove(channel));
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(
                                SILENCE_LIMIT.toMillis(),
                                HEARTBEAT_INTERVAL.toMillis(),
                                0,
                                TimeUnit.MILLISECONDS))
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES, 0, FRAME_LENGTH_BYTES, 0, FRAME_LENGTH_BYTES))
                .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
                .addLast(new LengthFieldPrepender(FRAME_LENGTH_BYTES))
                .addLast(new ProtobufEncoder())
                .addLast(new LinkHandler(mSelf, mLoop, listener, mMetrics, this::hasRoomFor));
    }
}
