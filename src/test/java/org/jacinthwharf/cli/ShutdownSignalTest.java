package org.jacinthwharf.cli;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a signal to stop that cuts off what a process serves before its start returns. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class ShutdownSignalTest {
    private final List<String> mEvents = new CopyOnWriteArrayList<>();
    private final ShutdownSignal mSignal = new ShutdownSignal();

    @Test
    void signalDuringTheStartStopsTheProcessAfterIt() throws Exception {
        CountDownLatch serving = new CountDownLatch(1);
        CountDownLatch signalled = new CountDownLatch(1);
        CompletableFuture<Void> start =
                CompletableFuture.runAsync(
                        () ->
                                mSignal.start(
                                        () -> {
                                            serving.countDown();
                                            awaitQuietly(signalled);
                                            mEvents.add("started");
                                            return () -> mEvents.add("stopped");
                                        }));
        serving.await();
        CompletableFuture<Void> stop = CompletableFuture.runAsync(mSignal::stop);
        // The stop waits for the start.
        Thread.sleep(100);
        signalled.countDown();
        start.get(5, TimeUnit.SECONDS);
        stop.get(5, TimeUnit.SECONDS);
        assertThat(mEvents).containsExactly("started", "stopped").inOrder();
    }

    @Test
    void processIsNotStartedAfterTheSignal() {
        mSignal.stop();
        mSignal.start(
                () -> {
                    mEvents.add("started");
                    return () -> {};
                });
        assertThat(mEvents).isEmpty();
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
