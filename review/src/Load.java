import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * Requesters on kept connections that send repeatable requests, and a watch that starts a process
 * again that ended by itself, as the platform does. Thread-safe.
 */
final class Load {
    static final int TIMEOUT_MILLIS = 3_000;
    static final String KEY = "asnmgkcuyj8pjbvk9m68";

    final AtomicInteger mSent = new AtomicInteger();
    final AtomicInteger mServed = new AtomicInteger();
    final AtomicInteger mLate = new AtomicInteger();
    final AtomicInteger mUnanswered = new AtomicInteger();
    final AtomicInteger mEnds = new AtomicInteger();
    final Set<String> mCut = ConcurrentHashMap.newKeySet();
    private final Kit.Fleet mFleet;
    private final Kit.Record mRecord;
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile boolean mStop;

    Load(Kit.Fleet fleet, Kit.Record record) {
        mFleet = fleet;
        mRecord = record;
    }

    /** Starts requesters, spread evenly over the fronts. */
    void start(int requesters, Supplier<String> ids) {
        for (int i = 0; i < requesters; i++) {
            int front = i % mFleet.mFronts.size();
            Thread t = new Thread(() -> send(front, ids));
            t.setDaemon(true);
            mThreads.add(t);
            t.start();
        }
        mFleet.watch(mEnds);
    }

    private void send(int front, Supplier<String> ids) {
        Kit.Requester r = new Kit.Requester(mFleet.front(front));
        while (!mStop) {
            String id = ids.get();
            mSent.incrementAndGet();
            Kit.Result a =
                    r.send(
                            "GET",
                            "shop.example",
                            "/stock/7",
                            id,
                            Map.of("Key", KEY, "Deadline-Ms", "" + TIMEOUT_MILLIS),
                            new byte[0],
                            TIMEOUT_MILLIS + 700);
            mRecord.line(
                    "sent %s front=%d: %s %d after %d ms",
                    id, front, a.seen(), a.status(), a.millis());
            if (a.millis() >= TIMEOUT_MILLIS) {
                mLate.incrementAndGet();
            }
            switch (a.seen()) {
                case ANSWER -> mServed.addAndGet(a.status() == 200 ? 1 : 0);
                case NOTHING -> mUnanswered.incrementAndGet();
                default -> mCut.add(id);
            }
            Kit.pause(a.retryMillis());
        }
    }

    /** Returns whether a request failed in another way than by a refusal. */
    boolean hasFailed() {
        return mLate.get() > 0 || mEnds.get() > 0 || !mCut.isEmpty();
    }

    void stop() throws InterruptedException {
        mStop = true;
        for (Thread t : mThreads) {
            t.join();
        }
    }

    /** Judges LOST (kept connections) and CONFIG (answers at the route's timeout). */
    int judge(List<Kit.Replica> replicas) {
        long lost =
                mCut.stream()
                        .filter(id -> replicas.stream().anyMatch(r -> r.mRuns.containsKey(id)))
                        .count();
        mRecord.say(
                "sent=%d served=%d closed without an answer=%d, of which passed on to a replica=%d;"
                        + " not answered at the route's timeout=%d, nor half a second later=%d;"
                        + " ends of processes=%d",
                mSent.get(),
                mServed.get(),
                mCut.size(),
                lost,
                mLate.get(),
                mUnanswered.get(),
                mEnds.get());
        boolean config = mUnanswered.get() > 0 && 2 * mUnanswered.get() > mLate.get();
        return config || lost > 3 ? Kit.BROKEN : Kit.HELD;
    }
}
