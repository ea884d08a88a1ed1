import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Callers that send requests at a steady rate, each on a new connection to some gateway, and repeat
 * a request of an idempotent route once, with a new id, after a failure.
 *
 * <p>Thread-safe.
 */
final class Callers implements AutoCloseable {
    final AtomicInteger mSent = new AtomicInteger();
    final AtomicInteger mServed = new AtomicInteger();
    final AtomicLong mLastServedNanos = new AtomicLong();
    final List<Long> mSentNanos = new java.util.concurrent.CopyOnWriteArrayList<>();
    private final ExecutorService mPool = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r, "caller");
        t.setDaemon(true);
        return t;
    });
    private final Supplier<List<String>> mGateways;
    private final String mHost;
    private final String mPath;
    private final String mKey;
    private final int mDeadlineMillis;
    private final double mPerSecond;
    private final Record mRecord;
    private final Random mRandom = new Random();
    private final AtomicInteger mNext = new AtomicInteger();
    private volatile boolean mEnded;

    Callers(
            Supplier<List<String>> gateways,
            String host,
            String path,
            String key,
            int deadlineMillis,
            double perSecond,
            Record record) {
        mGateways = gateways;
        mHost = host;
        mPath = path;
        mKey = key;
        mDeadlineMillis = deadlineMillis;
        mPerSecond = perSecond;
        mRecord = record;
        Thread t = new Thread(this::send, "callers");
        t.setDaemon(true);
        t.start();
    }

    private void send() {
        long next = System.nanoTime();
        while (!mEnded) {
            next += (long) (1e9 / mPerSecond);
            long pause = next - System.nanoTime();
            if (pause > 0) {
                try {
                    Thread.sleep(pause / 1_000_000, (int) (pause % 1_000_000));
                } catch (InterruptedException e) {
                    return;
                }
            }
            mPool.execute(() -> request(true));
        }
    }

    private void request(boolean mayRepeat) {
        String id = String.format("%016x", nextLong());
        mSent.incrementAndGet();
        mSentNanos.add(System.nanoTime());
        List<String> gateways = mGateways.get();
        String gateway = gateways.get(Math.floorMod(mNext.getAndIncrement(), gateways.size()));
        String outcome;
        boolean served = false;
        try {
            Http.Message answer =
                    Http.call(
                            gateway,
                            "POST",
                            mPath,
                            Map.of(
                                    "Host", mHost,
                                    "Request-Id", id,
                                    "Key", mKey,
                                    "Deadline-Ms", Integer.toString(mDeadlineMillis)),
                            new byte[] {'x'},
                            mDeadlineMillis);
            outcome = answer == null ? "closed" : Integer.toString(answer.status());
            served = answer != null && answer.status() == 200;
        } catch (IOException e) {
            outcome = String.valueOf(e.getMessage());
        }
        mRecord.line("caller: %s at %s: %s", id, gateway, outcome);
        if (served) {
            mServed.incrementAndGet();
            mLastServedNanos.set(System.nanoTime());
        } else if (mayRepeat && !mEnded) {
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
            request(false);
        }
    }

    private synchronized long nextLong() {
        return mRandom.nextLong();
    }

    /** Returns how many requests were sent in a time. */
    int sentBetween(long fromNanos, long toNanos) {
        return (int) mSentNanos.stream().filter(t -> t >= fromNanos && t < toNanos).count();
    }

    @Override
    public void close() {
        mEnded = true;
    }
}
