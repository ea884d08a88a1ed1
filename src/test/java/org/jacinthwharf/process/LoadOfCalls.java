package org.jacinthwharf.process;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Keeps a number of requests open at routers until it is closed, and keeps their answers.
 *
 * <p>Thread-safe. A request that got no answer is followed by one at the next router.
 */
final class LoadOfCalls implements AutoCloseable {
    private static final int PAUSE_AFTER_FAILURE_MS = 50;

    private final List<Thread> mCallers;
    private final Queue<Call.Answer> mAnswers = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mNumber = new AtomicInteger();
    private volatile boolean mClosed;

    /**
     * Starts the load.
     *
     * @param call sends the request with the given number and returns its answer
     */
    LoadOfCalls(int callers, Function<Integer, Call.Answer> call) {
        mCallers =
                java.util.stream.IntStream.range(0, callers)
                        .mapToObj(i -> new Thread(() -> run(call), "caller-" + i))
                        .toList();
        mCallers.forEach(t -> t.setDaemon(true));
        mCallers.forEach(Thread::start);
    }

    private void run(Function<Integer, Call.Answer> call) {
        while (!mClosed) {
            Call.Answer answer = call.apply(mNumber.getAndIncrement());
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

    /** Returns how many requests were answered with status 200. */
    long succeeded() {
        return mAnswers.stream().filter(a -> a.status() == 200).count();
    }

    /** Returns the answers with another status. */
    List<Call.Answer> failures() {
        return mAnswers.stream().filter(a -> a.status() != 200).toList();
    }

    /** Starts no more requests and waits for the open ones. */
    @Override
    public void close() throws InterruptedException {
        mClosed = true;
        for (Thread t : mCallers) {
            t.join(ProcessFleet.LONG.toMillis());
        }
    }
}
