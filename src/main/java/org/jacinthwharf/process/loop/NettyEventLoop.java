package org.jacinthwharf.process.loop;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An event loop that also carries the process's connections, so that no task changes threads.
 *
 * <p>Invariant: one thread runs all tasks and all connections. Thread-safe.
 */
public final class NettyEventLoop extends ExecutorEventLoop {
    private static final long CLOSE_MILLIS = 500;

    private final EventLoopGroup mGroup;

    /**
     * Creates a loop whose thread has the given name.
     *
     * @param onBrokenInvariant receives what a task threw; the process is expected to stop
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

    /** Returns a loop that halts the process with status 70 when an invariant is broken. */
    public static NettyEventLoop haltingProcess(String name) {
        return new NettyEventLoop(name, ExecutorEventLoop::haltProcess);
    }

    /** Returns the group of one thread that carries connections. */
    public EventLoopGroup group() {
        return mGroup;
    }

    /** Stops the loop and closes its connections; waits at most half a second for that. */
    @Override
    public void close() {
        mGroup.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_MILLIS);
    }
}
