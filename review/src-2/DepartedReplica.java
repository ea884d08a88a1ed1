import java.util.ArrayList;
import java.util.List;

/**
 * A replica has deregistered, and its departure is acknowledged. All processes of the system are
 * killed at the same moment and start again; a heartbeat that the replica sent before arrives late.
 */
final class DepartedReplica {
    private static final long LATE_MILLIS = 4_000;

    /** The replica serves for so long after the acknowledgement of its departure. */
    private static final long SERVES_MILLIS = 6_500;

    private DepartedReplica() {}

    static boolean run(ReviewCase.Context c) throws Exception {
        Fleet fleet = c.mFleet;
        List<Fleet.Machine> core = List.of(fleet.core(1, 20), fleet.core(2, 20), fleet.core(3, 20));
        List<String> control = core.stream().map(Fleet.Machine::control).toList();
        Operator operator = new Operator(() -> control, c.mRecord);
        List<Fleet.Machine> fronts = List.of(fleet.gateway(1, 40), fleet.gateway(2, 40), fleet.gateway(3, 40));
        List<Fleet.Machine> all = new ArrayList<>(core);
        all.addAll(fronts);
        for (Fleet.Machine m : all) {
            m.start(true);
        }
        ReviewCase.put(operator, ReviewCase.desiredState(4, "non_idempotent", 1, 3_000), 20_000);
        List<Replica> replicas = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            int zone = 1 + i % 3;
            replicas.add(new Replica("i-" + i, "desk", "v1", "z" + zone, fleet.serverIp(zone, 60 + i), 6, () -> control, r -> {
                Thread.sleep(150);
                return 200;
            }, c.mRecord));
        }
        Replica leaving = replicas.get(3);
        List<String> gateways = fronts.stream().map(Fleet.Machine::front).toList();
        Callers callers = new Callers(() -> gateways, "h.example", "/a/x", "key1", 2_000, 60, c.mRecord);
        ReviewCase.awaitServed(callers, 100, 20_000);
        Thread.sleep(2 * ReviewCase.CONTACT_MILLIS);

        Runnable late = leaving.sendDelayedBeat();
        Thread.sleep(1_100);
        if (!leaving.deregister()) {
            throw new ReviewCase.CannotRun("the departure was not acknowledged");
        }
        long acknowledged = System.nanoTime();
        long touch = acknowledged;
        Thread.sleep(300);
        if (c.mTrouble) {
            for (Fleet.Machine m : all) {
                m.kill();
            }
            for (Fleet.Machine m : all) {
                m.start(false);
            }
            touch = System.nanoTime() + ReviewCase.CONTACT_MILLIS * 1_000_000L;
            c.mRecord.show("all processes were killed and started again");
        }
        Thread.sleep(Math.max(0, LATE_MILLIS - (System.nanoTime() - acknowledged) / 1_000_000));
        late.run();
        Thread.sleep(Math.max(0, SERVES_MILLIS - (System.nanoTime() - acknowledged) / 1_000_000));
        long from = Math.max(touch, acknowledged + ReviewCase.DRAIN_MILLIS * 1_000_000L);
        int reached = (int) leaving.mArrivals.stream().filter(a -> a.nanos() > from).count();
        int after = (int) leaving.mArrivals.stream().filter(a -> a.nanos() > acknowledged + ReviewCase.DRAIN_MILLIS * 1_000_000L).count();
        int cut = leaving.mRunning.get();
        leaving.close();
        Thread.sleep(3_000);
        c.mRecord.show("the replica ended with %d requests at work", cut);
        c.mRecord.show("%d requests reached the replica later than %d ms after the acknowledgement, %d of them from machines in touch",
                after, ReviewCase.DRAIN_MILLIS, reached);
        callers.close();
        replicas.forEach(Replica::close);
        return reached > 0;
    }
}
