package org.jacinthwharf.cli;

import java.util.concurrent.CountDownLatch;

/**
 * Runs a process from its start until a signal to stop it.
 *
 * <p>Thread-safe. Invariant: a signal that arrives during the start takes effect after it, and then
 * stops the process in the same way as later; a process that has not begun to start is not started.
 */
final class ShutdownSignal {
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private Runnable mStop = () -> {};
    private boolean mStopping;

    /**
     * Starts a process.
     *
     * @param <E> thrown if it cannot start
     */
    interface Start<E extends Exception> {
        /** Starts it and returns what stops it. */
        Runnable run() throws E;
    }

    /**
     * Starts a process and blocks until SIGTERM or SIGINT has stopped it; the JVM exits then.
     *
     * @throws E if the process cannot start
     * @throws InterruptedException if the calling thread is interrupted
     */
    static <E extends Exception> void startAndAwait(Start<E> start) throws E, InterruptedException {
        ShutdownSignal signal = new ShutdownSignal();
        // The JVM exits as soon as all shutdown hooks have returned, so the stop runs in one. Added
        // before the start, since a process may serve requests before its start has returned.
        Runtime.getRuntime().addShutdownHook(new Thread(signal::stop, "stop"));
        signal.start(start);
        signal.mStopped.await();
    }

    synchronized <E extends Exception> void start(Start<E> start) throws E {
        if (!mStopping) {
            mStop = start.run();
        }
    }

    /** Runs what stops the process, if it has been started. */
    void stop() {
        beginStop().run();
        mStopped.countDown();
    }

    private synchronized Runnable beginStop() {
        mStopping = true;
        return mStop;
    }
}
