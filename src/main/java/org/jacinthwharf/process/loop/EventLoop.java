package org.jacinthwharf.process.loop;

import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * Runs tasks one after another on one thread, and provides the clock for decisions.
 *
 * <p>Invariant: no two tasks run at the same time. Thread-safe. An exception thrown by a task is a
 * broken invariant and stops the process.
 */
public interface EventLoop extends Executor {
    /** Runs {@code task} on the loop as soon as possible. */
    @Override
    void execute(Runnable task);

    /** Runs {@code task} on the loop once, not before {@code delay} has passed. */
    void schedule(Duration delay, Runnable task);

    /** Runs {@code task} on the loop repeatedly, {@code period} after the end of its last run. */
    void scheduleRepeatedly(Duration period, Runnable task);

    /** Returns the monotonic time in nanoseconds. */
    long nowNanos();

    /** Returns the wall-clock time in milliseconds since the epoch. */
    long nowMillis();
}
