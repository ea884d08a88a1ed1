import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

/** Replicas fail a part of their requests, and all gateways are killed at the same moment, twice. */
final class RetryBudgetAfterKill {
    private static final double PER_SECOND = 30;
    private static final double FAILED_PART = 0.45;
    private static final int ATTEMPTS = 3;
    private static final long LIFE_MILLIS = 2_300;
    private static final int KILLS = 2;

    private RetryBudgetAfterKill() {}

    static boolean run(ReviewCase.Context c) throws Exception {
        Fleet fleet = c.mFleet;
        List<Fleet.Machine> core = List.of(fleet.core(1, 20), fleet.core(2, 20), fleet.core(3, 20));
        List<String> control = core.stream().map(Fleet.Machine::control).toList();
        Operator operator = new Operator(() -> control, c.mRecord);
        for (Fleet.Machine m : core) {
            m.start(true);
        }
        List<Fleet.Machine> fronts = List.of(fleet.gateway(1, 40), fleet.gateway(2, 40), fleet.gateway(3, 40));
        for (Fleet.Machine m : fronts) {
            m.start(true);
        }
        ReviewCase.put(operator, ReviewCase.desiredState(4, "idempotent", ATTEMPTS, 3_000), 20_000);
        Random random = new Random();
        boolean[] failing = {false};
        List<Replica> replicas = new ArrayList<>();
        for (int zone = 1; zone <= 3; zone++) {
            replicas.add(
                    new Replica("i-" + zone, "desk", "v1", "z" + zone, fleet.serverIp(zone, 60), 6, () -> control, r -> {
                        Thread.sleep(20);
                        return failing[0] && random.nextDouble() < FAILED_PART ? 500 : 200;
                    }, c.mRecord));
        }
        List<String> gateways = fronts.stream().map(Fleet.Machine::front).toList();
        Callers callers = new Callers(() -> gateways, "h.example", "/a/x", "key1", 2_000, PER_SECOND, c.mRecord);
        ReviewCase.awaitServed(callers, 50, 20_000);
        Thread.sleep(2 * ReviewCase.CONTACT_MILLIS);
        failing[0] = true;
        c.mRecord.show("replicas fail %.2f of their requests from now on", FAILED_PART);
        if (c.mTrouble) {
            for (int i = 0; i < KILLS; i++) {
                Thread.sleep(LIFE_MILLIS);
                for (Fleet.Machine m : fronts) {
                    m.kill();
                }
                long killed = System.nanoTime();
                for (Fleet.Machine m : fronts) {
                    m.start(false);
                }
                while (callers.mLastServedNanos.get() < killed + 300_000_000L) {
                    if (System.nanoTime() - killed > 15_000_000_000L) {
                        throw new ReviewCase.CannotRun("the gateways do not serve again");
                    }
                    Thread.sleep(5);
                }
                c.mRecord.show("the gateways serve again %.2f s after they were killed", (System.nanoTime() - killed) / 1e9);
            }
        }
        Thread.sleep(c.mTrouble ? LIFE_MILLIS + 500 : 12_000);
        callers.close();
        Thread.sleep(500);
        boolean broken = false;
        double worst = Double.NEGATIVE_INFINITY;
        Map<String, Integer> arrived = new HashMap<>();
        List<Long> repeats = new ArrayList<>();
        replicas.stream()
                .flatMap(r -> r.mArrivals.stream())
                .sorted((a, b) -> Long.compare(a.nanos(), b.nanos()))
                .forEach(a -> {
                    if (arrived.merge(a.request(), 1, Integer::sum) > 1) {
                        repeats.add(a.nanos());
                    }
                });
        long window = ReviewCase.RETRY_WINDOW_MILLIS * 1_000_000L;
        String text = "";
        for (long from : repeats) {
            int n = (int) repeats.stream().filter(t -> t >= from && t < from + window).count();
            int requests =
                    Math.max(
                            callers.sentBetween(from, from + window),
                            Math.max(
                                    callers.sentBetween(from - window, from),
                                    callers.sentBetween(from - window / 2, from + window / 2)));
            double over = n - (ReviewCase.RETRY_RATIO * requests + ReviewCase.RETRY_SLACK);
            if (over > worst) {
                worst = over;
                text = n + " arrivals beyond the first for " + requests + " requests, allowed are "
                        + Math.round(ReviewCase.RETRY_RATIO * requests + ReviewCase.RETRY_SLACK);
            }
            broken |= over > 0;
        }
        c.mRecord.show("worst ten seconds: %s", text);
        replicas.forEach(Replica::close);
        return broken;
    }
}
