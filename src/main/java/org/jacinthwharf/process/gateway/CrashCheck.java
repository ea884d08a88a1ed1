package org.jacinthwharf.process.gateway;

import com.google.common.base.Ascii;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jacinthwharf.connection.ConnectFailures;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;

/**
 * Tells a crash of a backend server from the end of a connection, by a new connection to its
 * address that carries no request.
 *
 * <p>Used on the event loop only. Invariant: the new connection is opened after all connections
 * that it is to explain have ended, so if it is accepted, the process has outlived them.
 */
final class CrashCheck {
    /** A crashed process is noticed within a round trip, since its VM refuses the connection. */
    private static final int TIMEOUT_MS = 400;

    /** A process that ends closes its sockets one after the other, the listening one not first. */
    private static final Duration CLOSING_TIME = Duration.ofMillis(10);

    private final EventLoopGroup mGroup;
    private final FleetMetrics mMetrics;
    private final EventLoop mLoop;
    private final Map<SocketAddress, CompletableFuture<Result>> mScheduled = new HashMap<>();

    /** What became of the new connection. */
    enum Result {
        /** The VM refuses connections: no process listens at the address. */
        REFUSED,
        /** A process listens, so only connections were lost. */
        ACCEPTED,
        /** No answer: the VM is down, frozen or cut off. */
        TIMED_OUT;

        /** Returns the result in logs, such as {@code refused}. */
        String code() {
            return Ascii.toLowerCase(name());
        }
    }

    CrashCheck(EventLoopGroup group, EventLoop loop, FleetMetrics metrics) {
        mGroup = group;
        mLoop = loop;
        mMetrics = metrics;
    }

    /**
     * Opens a new connection to an address shortly, and returns what became of it; all checks of an
     * address that are asked for until then share it.
     */
    CompletableFuture<Result> check(SocketAddress address) {
        return mScheduled.computeIfAbsent(
                address,
                a -> {
                    CompletableFuture<Result> result = new CompletableFuture<>();
                    mLoop.schedule(CLOSING_TIME, () -> connect(a, result));
                    return result;
                });
    }

    private void connect(SocketAddress address, CompletableFuture<Result> result) {
        mScheduled.remove(address);
        mMetrics.countEvent("crash_check");
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MS)
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(address);
        connecting.addListener(
                f -> {
                    connecting.channel().close();
                    result.complete(f.isSuccess() ? Result.ACCEPTED : failure(f.cause()));
                });
    }

    private static Result failure(Throwable cause) {
        return ConnectFailures.isRefusal(cause) ? Result.REFUSED : Result.TIMED_OUT;
    }
}
