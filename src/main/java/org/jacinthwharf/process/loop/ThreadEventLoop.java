package org.jacinthwharf.process.loop;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** An event loop on its own thread. Thread-safe. */
public final class ThreadEventLoop extends ExecutorEventLoop {
    private static final long CLOSE_TIMEOUT_SECONDS = 2;

    private final ScheduledThreadPoolExecutor mExecutor;

    /**
     * Creates a loop whose thread has the given name.
     *
     * @param onBrokenInvariant receives an exception thrown by a task and is expected to stop the
     *     process
     */
    public ThreadEventLoop(String name, Consumer<Throwable> onBrokenInvariant) {
        this(
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread t = new Thread(task, name);
                            t.setDaemon(true);
                            return t;
                        }),
                onBrokenInvariant);
    }

    private ThreadEventLoop(
            ScheduledThreadPoolExecutor executor, Consumer<Throwable> onBrokenInvariant) {
        super(executor, onBrokenInvariant);
        mExecutor = executor;
        mExecutor.setRemoveOnCancelPolicy(true);
        mExecutor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /** Returns a loop that halts the process with exit status 70 if a task throws. */
    public static ThreadEventLoop haltingProcess(String name) {
        return new ThreadEventLoop(name, ExecutorEventLoop::haltProcess);
    }

    /** Stops the loop after the current task; waits at most two seconds for it. */
    @Override
    public void close() {
        mExecutor.shutdownNow();
        try {
            mExecutor.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
