package org.jacinthwharf.bench;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.jacinthwharf.process.settings.Endpoint;

/**
 * An open-loop load: sends generate requests at a fixed rate, whether or not earlier ones were
 * answered, and records latencies in microseconds. Thread-safe.
 */
final class OpenLoopLoad implements AutoCloseable {
    /** From the intended send time to the end of the response; successful responses only. */
    final Histogram mResponseTimes = histogram();

    /** From the intended send time to the first chunk of a stream. */
    final Histogram mFirstEventTimes = histogram();

    /** Between consecutive chunks of a stream. */
    final Histogram mChunkGaps = histogram();

    final AtomicLong mSent = new AtomicLong();
    final AtomicLong mCompleted = new AtomicLong();
    final AtomicLong mFailed = new AtomicLong();
    final AtomicLong mEvents = new AtomicLong();
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final HttpClient mClient;
    private final List<Endpoint> mTargets;
    private final String mModel;
    private final int mTokens;
    private final boolean mStream;

    OpenLoopLoad(
            HttpClient client, List<Endpoint> targets, String model, int tokens, boolean stream) {
        mClient = client;
        mTargets = targets;
        mModel = model;
        mTokens = tokens;
        mStream = stream;
    }

    private static Histogram histogram() {
        return new ConcurrentHistogram(120_000_000L, 3);
    }

    /** Starts sending at the given rate. */
    OpenLoopLoad atRate(double perSecond) {
        long start = System.nanoTime();
        double intervalNanos = 1e9 / perSecond;
        mTimer.scheduleAtFixedRate(
                () -> {
                    while (start + mSent.get() * intervalNanos <= System.nanoTime()) {
                        send(start + (long) (mSent.get() * intervalNanos));
                    }
                },
                0,
                1,
                TimeUnit.MILLISECONDS);
        return this;
    }

    /** Sends one request now. */
    void sendNow() {
        send(System.nanoTime());
    }

    private void send(long intendedNanos) {
        long n = mSent.getAndIncrement();
        Endpoint target = mTargets.get((int) (n % mTargets.size()));
        String body = "{\"prompt\":\"p" + n + "\",\"tokens\":" + mTokens + "}";
        Request request =
                mClient.POST("http://" + target + "/v1/generate")
                        .headers(
                                h -> {
                                    h.put("X-Customer", "c" + n % 10).put("X-Model", mModel);
                                    if (mStream) {
                                        h.put("Accept", "text/event-stream");
                                    }
                                })
                        .body(new StringRequestContent("application/json", body));
        long[] last = {0};
        if (mStream) {
            request.onResponseContent((response, chunk) -> onChunk(chunk, intendedNanos, last));
        }
        request.send(
                result -> {
                    mCompleted.incrementAndGet();
                    boolean ok = result.isSucceeded() && result.getResponse().getStatus() == 200;
                    if (ok) {
                        mResponseTimes.recordValue(micros(System.nanoTime() - intendedNanos));
                    } else {
                        mFailed.incrementAndGet();
                    }
                });
    }

    private void onChunk(ByteBuffer chunk, long intendedNanos, long[] last) {
        int events = 0;
        for (int i = chunk.position() + 1; i < chunk.limit(); i++) {
            events += chunk.get(i) == '\n' && chunk.get(i - 1) == '\n' ? 1 : 0;
        }
        long now = System.nanoTime();
        if (last[0] == 0) {
            mFirstEventTimes.recordValue(micros(now - intendedNanos));
        } else {
            mChunkGaps.recordValue(micros(now - last[0]));
        }
        last[0] = now;
        mEvents.addAndGet(events);
    }

    private static long micros(long nanos) {
        return Math.max(0, Math.min(120_000_000L, nanos / 1_000));
    }

    /** Runs for the given time, then stops sending and waits for the responses. */
    OpenLoopLoad runFor(double seconds) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep((long) (seconds * 1_000));
        stop();
        return this;
    }

    /** Stops sending and waits for the responses, at most 60 s. */
    void stop() throws InterruptedException {
        mTimer.shutdown();
        mTimer.awaitTermination(1, TimeUnit.SECONDS);
        BenchFleet.await("answers", () -> mCompleted.get() >= mSent.get());
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
