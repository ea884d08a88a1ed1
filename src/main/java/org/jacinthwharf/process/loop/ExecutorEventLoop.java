package org.jacinthwharf.process.loop;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An event loop on a single-threaded executor.
 *
 * <p>Thread-safe. Invariants: one thread runs all tasks; an exception thrown by a task is passed on
 * and never swallowed. Tasks submitted after {@link #close} are dropped, since the state they would
 * change no longer exists.
 */
abstract class ExecutorEventLoop implements EventLoop, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int EXIT_BROKEN_INVARIANT = 70;

    private final ScheduledExecutorService mExecutor;
    private final Consumer<Throwable> mOnBrokenInvariant;

    /**
     * Creates a loop.
     *
     * @param executor a single-threaded executor
     * @param onBrokenInvariant receives an exception thrown by a task and is expected to stop the
     *     process
     */
    ExecutorEventLoop(ScheduledExecutorService executor, Consumer<Throwable> onBrokenInvariant) {
        mExecutor = executor;
        mOnBrokenInvariant = onBrokenInvariant;
    }

    /** Halts the process with exit status 70. */
    static void haltProcess(Throwable failure) {
        LOGGER.atSevere().withCause(failure).log("event=invariant_broken");
        Runtime.getRuntime().halt(EXIT_BROKEN_INVARIANT);
    }

    @Override
    public final void execute(Runnable task) {
        submit(() -> mExecutor.execute(guarded(task)));
    }

    @Override
    public final void schedule(Duration delay, Runnable task) {
        submit(() -> mExecutor.schedule(guarded(task), delay.toNanos(), TimeUnit.NANOSECONDS));
    }

    @Override
    public final void scheduleRepeatedly(Duration period, Runnable task) {
        long nanos = period.toNanos();
        submit(
                () ->
                        mExecutor.scheduleWithFixedDelay(
                                guarded(task), nanos, nanos, TimeUnit.NANOSECONDS));
    }

    @Override
    public final long nowNanos() {
        return System.nanoTime();
    }

    @Override
    public final long nowMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public abstract void close();

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
