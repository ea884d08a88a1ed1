package org.jacinthwharf.process.loop;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An event loop that also serves the process's connections, so that requests are handled without
 * switching threads.
 *
 * <p>Thread-safe. Invariant: one thread runs all tasks and serves all connections.
 */
public final class NettyEventLoop extends ExecutorEventLoop {
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final EventLoopGroup mGroup;

    /**
     * Creates a loop whose thread has the given name.
     *
     * @param onBrokenInvariant receives an exception thrown by a task and is expected to stop the
     *     process
     */
    public NettyEventLoop(String name, Consumer<Throwable> onBrokenInvariant) {
        this(
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory()),
                onBrokenInvariant);
    }

    private NettyEventLoop(EventLoopGroup group, Consumer<Throwable> onBrokenInvariant) {
        super(group.next(), onBrokenInvariant);
        mGroup = group;
    }

    /** Returns a loop that halts the process with exit status 70 if a task throws. */
    public static NettyEventLoop haltingProcess(String name) {
        return new NettyEventLoop(name, ExecutorEventLoop::haltProcess);
    }

    /** Returns the single-threaded group that serves the connections. */
    public EventLoopGroup group() {
        return mGroup;
    }

    /** Stops the loop and closes its connections; waits at most half a second. */
    @Override
    public void close() {
        mGroup.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
    }
}
