import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The first version move of a service is rolled back, since the version is bad, and the operator
 * orders the next one at once, while the servers of the bad version still run.
 */
final class RolledBackVersion {
    private static final int RAMP_SECONDS = 12;
    private static final double PER_SECOND = 400;
    private static final double FAILED_PART = 0.10;

    /** Servers of a version that was rolled back drain some seconds later. */
    private static final long DRAINS_AFTER_MILLIS = 5_000;

    private RolledBackVersion() {}

    static boolean run(ReviewCase.Context c) throws Exception {
        RolloutFleet f = new RolloutFleet(c, RolloutFleet.QUICK, PER_SECOND);
        Random random = new Random();
        List<Replica> bad =
                f.order("v2", RAMP_SECONDS, r -> {
                    Thread.sleep(30);
                    return c.mTrouble && random.nextDouble() < FAILED_PART ? 500 : 200;
                });
        long orderNanos = f.mOrderNanos;
        String state = f.awaitEnd(RAMP_SECONDS + 4);
        c.mRecord.show("v2 is %s, %.1f s after its order; it got %d requests, %d bad answers",
                state, (System.nanoTime() - orderNanos) / 1e9, RolloutFleet.arrivals(bad, orderNanos, Long.MAX_VALUE),
                RolloutFleet.badAnswers(bad));
        if (!c.mTrouble) {
            f.close();
            return false;
        }
        if (!state.equals("rolled_back")) {
            throw new ReviewCase.CannotRun("the bad version was not rolled back: " + state);
        }
        List<Replica> drained = new ArrayList<>(bad);
        Thread drains =
                new Thread(() -> {
                    try {
                        Thread.sleep(DRAINS_AFTER_MILLIS);
                        drained.forEach(r -> r.drain(ReviewCase.DRAIN_MILLIS));
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        drains.setDaemon(true);
        drains.start();
        int before = RolloutFleet.arrivals(bad, orderNanos, Long.MAX_VALUE);
        f.order("v3", RAMP_SECONDS, r -> {
            Thread.sleep(30);
            return 200;
        });
        long end = orderNanos + RAMP_SECONDS * 1_000_000_000L;
        Thread.sleep(Math.max(0, (end - System.nanoTime()) / 1_000_000) + 1_000);
        int all = f.arrivals(orderNanos, end);
        int atBad = RolloutFleet.arrivals(bad, orderNanos, end);
        double limit = ReviewCase.CANARY_SHARE * all + ReviewCase.CANARY_SLACK;
        c.mRecord.show("from the order of v2 to its deadline %d requests reached the service, %d of them v2"
                        + " (%d before it was rolled back); allowed are %.0f",
                all, atBad, before, limit);
        f.close();
        return atBad > limit;
    }
}
