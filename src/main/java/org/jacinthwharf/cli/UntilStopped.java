package org.jacinthwharf.cli;

import java.util.concurrent.CountDownLatch;

/** Keeps a process running until it is told to stop. Stateless and thread-safe. */
final class UntilStopped {
    private UntilStopped() {}

    /**
     * Waits for SIGTERM or SIGINT, then runs {@code stop} to its end before the process ends.
     *
     * @throws InterruptedException if the calling thread is interrupted
     */
    static void waitAndRun(Runnable stop) throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(1);
        // The JVM ends when its shutdown hooks have ended, so the stop runs inside of one.
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    stop.run();
                                    stopped.countDown();
                                },
                                "stop"));
        stopped.await();
    }
}
