package org.jacinthwharf.process.loop;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An event loop that also carries the process's connections, so that no task changes threads.
 *
 * <p>Invariant: one thread runs all tasks and all connections. Thread-safe. Tasks handed over after
 * {@link #close} are dropped, since the state they would change is gone.
 */
public final class NettyEventLoop implements EventLoop, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int BROKEN_INVARIANT = 70;
    private static final long CLOSE_MILLIS = 500;

    private final EventLoopGroup mGroup;
    private final io.netty.channel.EventLoop mLoop;
    private final Consumer<Throwable> mOnBrokenInvariant;

    /**
     * Creates a loop whose thread has the given name.
     *
     * @param onBrokenInvariant receives what a task threw; the process is expected to stop
     */
    public NettyEventLoop(String name, Consumer<Throwable> onBrokenInvariant) {
        mOnBrokenInvariant = onBrokenInvariant;
        mGroup =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
        mLoop = mGroup.next();
    }

    /** Returns a loop that halts the process with status 70 when an invariant is broken. */
    public static NettyEventLoop haltingProcess(String name) {
        return new NettyEventLoop(
                name,
                failure -> {
                    LOGGER.atSevere().withCause(failure).log("event=invariant_broken");
                    Runtime.getRuntime().halt(BROKEN_INVARIANT);
                });
    }

    /** Returns the group of one thread that carries connections. */
    public EventLoopGroup group() {
        return mGroup;
    }

    @Override
    public void execute(Runnable task) {
        submit(() -> mLoop.execute(guarded(task)));
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
        submit(() -> mLoop.schedule(guarded(task), delay.toNanos(), TimeUnit.NANOSECONDS));
    }

    @Override
    public void scheduleRepeatedly(Duration period, Runnable task) {
        long nanos = period.toNanos();
        submit(
                () ->
                        mLoop.scheduleWithFixedDelay(
                                guarded(task), nanos, nanos, TimeUnit.NANOSECONDS));
    }

    @Override
    public long nowNanos() {
        return System.nanoTime();
    }

    @Override
    public long nowMillis() {
        return System.currentTimeMillis();
    }

    /** Stops the loop and closes its connections; waits at most half a second for that. */
    @Override
    public void close() {
        mGroup.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_MILLIS);
    }

    private void submit(Runnable submission) {
        try {
            submission.run();
        } catch (RejectedExecutionException e) {
            LOGGER.atFine().log("event=task_dropped reason=loop_closed");
        }
    }

    private Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                mOnBrokenInvariant.accept(e);
            }
        };
    }
}
