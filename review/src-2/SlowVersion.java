import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** A new version whose answers come eight times as late in a part of its requests, after their time is over. */
final class SlowVersion {
    private static final int RAMP_SECONDS = 30;
    private static final double PER_SECOND = 250;
    private static final double SLOW_PART = 0.4;
    private static final int TIMES_AS_SLOW = 8;
    private static final RolloutFleet.Service SERVICE = new RolloutFleet.Service("non_idempotent", 200, 64, 1_500);

    private SlowVersion() {}

    static boolean run(ReviewCase.Context c) throws Exception {
        RolloutFleet f = new RolloutFleet(c, SERVICE, PER_SECOND);
        Random random = new Random();
        AtomicInteger slow = new AtomicInteger();
        List<Replica> replicas =
                f.order("v2", RAMP_SECONDS, r -> {
                    boolean late = c.mTrouble && random.nextDouble() < SLOW_PART;
                    if (late) {
                        slow.incrementAndGet();
                    }
                    Thread.sleep(SERVICE.workMillis() * (late ? TIMES_AS_SLOW : 1));
                    return 200;
                });
        long orderNanos = f.mOrderNanos;
        long end = orderNanos + RAMP_SECONDS * 1_000_000_000L;
        int sentBefore = f.mCallers.mSent.get();
        int servedBefore = f.mCallers.mServed.get();
        String state = f.awaitEnd(RAMP_SECONDS + 4);
        c.mRecord.show("v2 is %s, %.1f s after its order", state, (System.nanoTime() - orderNanos) / 1e9);
        Thread.sleep(Math.max(0, (end - System.nanoTime()) / 1_000_000) + 2_000);
        int all = f.arrivals(orderNanos, end);
        int atNew = RolloutFleet.arrivals(replicas, orderNanos, end);
        double limit = ReviewCase.CANARY_SHARE * all + ReviewCase.CANARY_SLACK;
        c.mRecord.show("from the order of v2 to its deadline %d requests reached the service, %d of them v2, with %d late answers;"
                        + " a bad version may get %.0f; callers sent %d requests and got %d answers",
                all, atNew, slow.get(), limit, f.mCallers.mSent.get() - sentBefore, f.mCallers.mServed.get() - servedBefore);
        f.close();
        return c.mTrouble && atNew > limit;
    }
}
