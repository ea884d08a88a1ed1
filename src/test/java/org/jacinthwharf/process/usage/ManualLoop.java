package org.jacinthwharf.process.usage;

import java.time.Duration;
import org.jacinthwharf.process.loop.EventLoop;

/** Clocks that a test sets; runs no tasks. */
final class ManualLoop implements EventLoop {
    long mMillis;
    long mWallOffset;

    ManualLoop(long millis) {
        mMillis = millis;
    }

    @Override
    public long nowNanos() {
        return mMillis * 1_000_000;
    }

    @Override
    public long nowMillis() {
        return mMillis + mWallOffset;
    }

    @Override
    public void execute(Runnable task) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void scheduleRepeatedly(Duration period, Runnable task) {
        throw new UnsupportedOperationException();
    }
}
