package org.jacinthwharf.process;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Keeps a number of requests in flight at routers until it is closed, and records their responses.
 *
 * <p>Thread-safe. Closed loop: each caller thread sends its next request when the previous one
 * ends, after a pause if that one failed.
 */
final class BackgroundLoad implements AutoCloseable {
    private static final int PAUSE_AFTER_FAILURE_MS = 50;

    private final List<Thread> mCallers;
    private final Queue<ApiClient.Answer> mAnswers = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mNextNumber = new AtomicInteger();
    private volatile boolean mClosed;

    /**
     * Starts the callers.
     *
     * @param call sends the request with the given number and returns the response
     */
    BackgroundLoad(int callers, Function<Integer, ApiClient.Answer> call) {
        mCallers =
                java.util.stream.IntStream.range(0, callers)
                        .mapToObj(i -> new Thread(() -> run(call), "caller-" + i))
                        .toList();
        mCallers.forEach(t -> t.setDaemon(true));
        mCallers.forEach(Thread::start);
    }

    private void run(Function<Integer, ApiClient.Answer> call) {
        while (!mClosed) {
            ApiClient.Answer answer = call.apply(mNextNumber.getAndIncrement());
            mAnswers.add(answer);
            if (answer.status() != 200) {
                try {
                    Thread.sleep(PAUSE_AFTER_FAILURE_MS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    /** Returns the number of responses with status 200. */
    long succeeded() {
        return mAnswers.stream().filter(a -> a.status() == 200).count();
    }

    /** Returns the responses with any other status. */
    List<ApiClient.Answer> failures() {
        return mAnswers.stream().filter(a -> a.status() != 200).toList();
    }

    /** Stops sending requests and waits for those in flight. */
    @Override
    public void close() throws InterruptedException {
        mClosed = true;
        for (Thread t : mCallers) {
            t.join(ProcessFleet.AWAIT_TIMEOUT.toMillis());
        }
    }
}
