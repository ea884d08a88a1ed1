package org.jacinthwharf.process.loop;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An event loop on a thread of its own.
 *
 * <p>Invariant: one thread runs all tasks. Thread-safe. Tasks handed over after {@link #close} are
 * dropped, since the state they would change is gone.
 */
public final class ThreadEventLoop implements EventLoop, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long CLOSE_TIMEOUT_SECONDS = 2;

    private final ScheduledThreadPoolExecutor mExecutor;
    private final Consumer<Throwable> mOnBrokenInvariant;

    /**
     * Creates a loop whose thread has the given name.
     *
     * @param onBrokenInvariant receives what a task threw; the process is expected to stop
     */
    public ThreadEventLoop(String name, Consumer<Throwable> onBrokenInvariant) {
        mOnBrokenInvariant = onBrokenInvariant;
        mExecutor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread t = new Thread(task, name);
                            t.setDaemon(true);
                            return t;
                        });
        mExecutor.setRemoveOnCancelPolicy(true);
        mExecutor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /** Returns a loop that halts the process with status 70 when an invariant is broken. */
    public static ThreadEventLoop haltingProcess(String name) {
        return new ThreadEventLoop(
                name,
                failure -> {
                    LOGGER.atSevere().withCause(failure).log("event=invariant_broken");
                    Runtime.getRuntime().halt(70);
                });
    }

    @Override
    public void execute(Runnable task) {
        submit(() -> mExecutor.execute(guarded(task)));
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
        submit(() -> mExecutor.schedule(guarded(task), delay.toNanos(), TimeUnit.NANOSECONDS));
    }

    @Override
    public void scheduleRepeatedly(Duration period, Runnable task) {
        long nanos = period.toNanos();
        submit(
                () ->
                        mExecutor.scheduleWithFixedDelay(
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

    /** Stops the loop after the task that runs now; waits at most two seconds for it. */
    @Override
    public void close() {
        mExecutor.shutdownNow();
        try {
            mExecutor.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
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
