package org.jacinthwharf.cli;

import java.util.concurrent.CountDownLatch;

/** Waits for a signal to stop the process. Stateless and thread-safe. */
final class ShutdownSignal {
    private ShutdownSignal() {}

    /**
     * Blocks until SIGTERM or SIGINT, then runs {@code stop}; the process exits when it returns.
     *
     * @throws InterruptedException if the calling thread is interrupted
     */
    static void awaitThenRun(Runnable stop) throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(1);
        // The JVM exits as soon as all shutdown hooks have returned, so stop runs in one.
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
