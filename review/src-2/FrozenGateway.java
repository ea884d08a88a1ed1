import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A gateway stands still for some seconds, and a server of its zone becomes cold meanwhile. */
final class FrozenGateway {
    private static final double COLD_RATE = 10;
    private static final double COLD_EXCESS = 1.5;
    private static final double COLD_SLACK = 5;
    private static final int COLD_MILLIS = 3_000;
    private static final int GATEWAYS_OF_ZONE = 2;

    /** Callers of each gateway of the first zone, which is the busy one, and of each other gateway. */
    private static final int CALLERS_OF_BUSY_GATEWAY = 450;

    private static final int CALLERS_OF_GATEWAY = 60;

    private static final int THINK_MILLIS = 4_000;
    private static final int FROZEN_MILLIS = 3_300;
    private static final int COLD_AFTER_MILLIS = 2_300;
    private static final long SECOND_NANOS = 1_000_000_000L;

    private FrozenGateway() {}

    static boolean run(ReviewCase.Context c) throws Exception {
        Fleet fleet = c.mFleet;
        List<Fleet.Machine> core = List.of(fleet.core(1, 20), fleet.core(2, 20), fleet.core(3, 20));
        List<String> control = core.stream().map(Fleet.Machine::control).toList();
        Operator operator = new Operator(() -> control, c.mRecord);
        for (Fleet.Machine m : core) {
            m.start(true);
        }
        List<Fleet.Machine> fronts = new ArrayList<>();
        for (int i = 0; i < 3 * GATEWAYS_OF_ZONE; i++) {
            fronts.add(fleet.gateway(1 + i % 3, 40 + i));
            fronts.get(i).start(true);
        }
        ReviewCase.put(
                operator,
                ReviewCase.desiredState(4, "idempotent", 1, 3_000, COLD_MILLIS / 1_000.0, COLD_RATE),
                20_000);
        List<Replica> replicas = new ArrayList<>();
        for (int zone = 1; zone <= 3; zone++) {
            replicas.add(new Replica("i-" + zone, "desk", "v1", "z" + zone, fleet.serverIp(zone, 60), 64, () -> control, r -> {
                Thread.sleep(60);
                return 200;
            }, c.mRecord));
        }
        Thread.sleep(3_000);
        Requesters requesters =
                new Requesters(
                        fronts,
                        fleet.mReadyPort,
                        m -> m.mZone.equals("z1") ? CALLERS_OF_BUSY_GATEWAY : CALLERS_OF_GATEWAY,
                        THINK_MILLIS,
                        c.mRecord);
        Thread.sleep(THINK_MILLIS + 2 * ReviewCase.CONTACT_MILLIS);
        if (requesters.mServed.get() < CALLERS_OF_GATEWAY) {
            throw new ReviewCase.CannotRun("the fleet does not serve");
        }

        Fleet.Machine frozen = fronts.get(0);
        Replica replica = replicas.get(0);
        if (c.mTrouble) {
            frozen.freeze();
        }
        Thread.sleep(COLD_AFTER_MILLIS);
        long cold = System.nanoTime();
        replica.becomeCold(COLD_MILLIS);
        Thread.sleep(FROZEN_MILLIS - COLD_AFTER_MILLIS);
        if (c.mTrouble) {
            frozen.thaw();
        }
        Thread.sleep(COLD_MILLIS + 500);
        requesters.close();
        int most = mostWithinOneSecond(requesters, replica, cold + SECOND_NANOS / 10, cold + COLD_MILLIS * 1_000_000L);
        double limit = COLD_RATE * COLD_EXCESS + COLD_SLACK;
        c.mRecord.show("the cold replica got %d requests that were sent and arrived within one second, allowed are %.0f", most, limit);
        replicas.forEach(Replica::close);
        return most > limit;
    }

    /** Counts requests that were sent and arrived inside the same second of a time. */
    private static int mostWithinOneSecond(Requesters requesters, Replica replica, long fromNanos, long toNanos) {
        List<long[]> requests = new ArrayList<>();
        for (Replica.Arrival a : replica.mArrivals) {
            Long sent = requesters.mSentNanos.get(a.request());
            if (sent != null && sent >= fromNanos && a.nanos() < toNanos) {
                requests.add(new long[] {sent, a.nanos()});
            }
        }
        Collections.sort(requests, (a, b) -> Long.compare(a[0], b[0]));
        int most = 0;
        for (long[] first : requests) {
            int count = 0;
            for (long[] r : requests) {
                if (r[0] >= first[0] && r[1] < first[0] + SECOND_NANOS) {
                    count++;
                }
            }
            most = Math.max(most, count);
        }
        return most;
    }
}
