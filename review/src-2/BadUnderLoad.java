import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/** A version that is bad under load: its servers fail a part of their requests once they get many. */
final class BadUnderLoad {
    private static final int RAMP_SECONDS = 30;
    private static final double PER_SECOND = 150;
    private static final double FAILED_PART = 0.3;

    /** Requests a second of one server; with all requests of the service it gets 37. */
    private static final int HIGH_RATE = 25;

    private BadUnderLoad() {}

    static boolean run(ReviewCase.Context c) throws Exception {
        RolloutFleet f = new RolloutFleet(c, RolloutFleet.QUICK, PER_SECOND);
        Random random = new Random();
        Map<Replica, Deque<Long>> recent = new ConcurrentHashMap<>();
        List<Replica> bad =
                f.order("v2", RAMP_SECONDS, r -> {
                    boolean loaded = isLoaded(recent.computeIfAbsent(r, k -> new ArrayDeque<>()));
                    Thread.sleep(30);
                    return c.mTrouble && loaded && random.nextDouble() < FAILED_PART ? 500 : 200;
                });
        long orderNanos = f.mOrderNanos;
        long end = orderNanos + RAMP_SECONDS * 1_000_000_000L;
        String state = f.awaitEnd(RAMP_SECONDS + 4);
        c.mRecord.show("v2 is %s, %.1f s after its order", state, (System.nanoTime() - orderNanos) / 1e9);
        Thread.sleep(Math.max(0, (end - System.nanoTime()) / 1_000_000) + 500);
        int all = f.arrivals(orderNanos, end);
        int atBad = RolloutFleet.arrivals(bad, orderNanos, end);
        double limit = ReviewCase.CANARY_SHARE * all + ReviewCase.CANARY_SLACK;
        c.mRecord.show("from the order of v2 to its deadline %d requests reached the service, %d of them v2,"
                        + " with %d bad answers; a bad version may get %.0f",
                all, atBad, RolloutFleet.badAnswers(bad), limit);
        f.close();
        return c.mTrouble && RolloutFleet.badAnswers(bad) > 0 && atBad > limit;
    }

    private static boolean isLoaded(Deque<Long> times) {
        synchronized (times) {
            long now = System.nanoTime();
            times.addLast(now);
            while (now - times.getFirst() > 1_000_000_000L) {
                times.removeFirst();
            }
            return times.size() > HIGH_RATE;
        }
    }
}
