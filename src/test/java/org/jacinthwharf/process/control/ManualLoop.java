package org.jacinthwharf.process.control;

import java.time.Duration;
import org.jacinthwharf.process.loop.EventLoop;

/** Runs tasks at once on the calling thread; time moves only when a test says so. */
final class ManualLoop implements EventLoop {
    long mNowNanos = 1_000_000_000L;
    long mNowMillis = 1_000_000L;

    void advance(Duration duration) {
        mNowNanos += duration.toNanos();
        mNowMillis += duration.toMillis();
    }

    @Override
    public void execute(Runnable task) {
        task.run();
    }

    @Override
    public void schedule(Duration delay, Runnable task) {}

    @Override
    public void scheduleRepeatedly(Duration period, Runnable task) {}

    @Override
    public long nowNanos() {
        return mNowNanos;
    }

    @Override
    public long nowMillis() {
        return mNowMillis;
    }
}
