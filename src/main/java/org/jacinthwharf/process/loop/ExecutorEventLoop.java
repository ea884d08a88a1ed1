package org.jacinthwharf.process.loop;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An event loop on an executor of one thread.
 *
 * <p>Thread-safe. Invariants: one thread runs all tasks; what a task throws is handed on and not
 * swallowed. Tasks handed over after {@link #close} are dropped, since the state they would change
 * is gone.
 */
abstract class ExecutorEventLoop implements EventLoop, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int BROKEN_INVARIANT = 70;

    private final ScheduledExecutorService mExecutor;
    private final Consumer<Throwable> mOnBrokenInvariant;

    /**
     * Creates a loop.
     *
     * @param executor has one thread
     * @param onBrokenInvariant receives what a task threw; the process is expected to stop
     */
    ExecutorEventLoop(ScheduledExecutorService executor, Consumer<Throwable> onBrokenInvariant) {
        mExecutor = executor;
        mOnBrokenInvariant = onBrokenInvariant;
    }

    /** Halts the process with status 70. */
    static void haltProcess(Throwable failure) {
        LOGGER.atSevere().withCause(failure).log("event=invariant_broken");
        Runtime.getRuntime().halt(BROKEN_INVARIANT);
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
