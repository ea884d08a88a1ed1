import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Three control machines, two gateways, four servers of version v1 and callers, for version moves. */
final class RolloutFleet implements AutoCloseable {
    private static final int SERVERS = 4;

    /** What the service and its route are like. */
    record Service(String kind, int workMillis, int slots, int timeoutMillis) {
        /** Returns the work of a sound version. */
        Replica.Behaviour sound() {
            return r -> {
                Thread.sleep(workMillis);
                return 200;
            };
        }
    }

    static final Service QUICK = new Service("idempotent", 30, 6, 3_000);

    private final ReviewCase.Context mContext;
    private final Service mService;
    private final List<String> mControl;
    private final Operator mOperator;
    private final List<Replica> mReplicas = new CopyOnWriteArrayList<>();
    final Callers mCallers;
    long mOrderNanos;
    private int mNumber;

    RolloutFleet(ReviewCase.Context c, Service service, double perSecond) throws Exception {
        mContext = c;
        mService = service;
        Fleet fleet = c.mFleet;
        List<Fleet.Machine> core = List.of(fleet.core(1, 20), fleet.core(2, 20), fleet.core(3, 20));
        mControl = core.stream().map(Fleet.Machine::control).toList();
        mOperator = new Operator(() -> mControl, c.mRecord);
        for (Fleet.Machine m : core) {
            m.start(true);
        }
        Fleet.Machine front1 = fleet.gateway(1, 40);
        Fleet.Machine front2 = fleet.gateway(2, 40);
        front1.start(true);
        front2.start(true);
        ReviewCase.put(mOperator, ReviewCase.desiredState(4, service.kind(), 2, service.timeoutMillis()), 20_000);
        start("v1", service.sound());
        mCallers =
                new Callers(() -> List.of(front1.front(), front2.front()), "h.example", "/a/x", "key1", Math.min(2_000, service.timeoutMillis()), perSecond, c.mRecord);
        ReviewCase.awaitServed(mCallers, 50, 20_000);
        // The core has to be stable and the gateways in touch.
        Thread.sleep(2 * ReviewCase.CONTACT_MILLIS);
    }

    private List<Replica> start(String version, Replica.Behaviour behaviour) throws Exception {
        List<Replica> started = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            int zone = 1 + i % 2;
            started.add(
                    new Replica("i-" + version + "-" + i, "desk", version, Fleet.ZONES.get(zone - 1),
                            mContext.mFleet.serverIp(zone, 60 + mNumber++), mService.slots(), () -> mControl, behaviour, mContext.mRecord));
        }
        mReplicas.addAll(started);
        return started;
    }

    /** Orders a version; its servers start next to the old ones. */
    List<Replica> order(String version, int rampSeconds, Replica.Behaviour behaviour) throws Exception {
        mOrderNanos = System.nanoTime();
        Http.Message answer =
                mOperator.order("POST", "/Rollouts.Start",
                        "{\"service\":\"desk\",\"target\":\"" + version + "\",\"rampS\":" + rampSeconds + "}", 4_000);
        if (answer == null || answer.status() != 200) {
            throw new ReviewCase.CannotRun("the order of " + version + " was not acknowledged: " + answer);
        }
        mContext.mRecord.show("%s is ordered", version);
        return start(version, behaviour);
    }

    /** Returns the state in which the version move ends. */
    String awaitEnd(int seconds) throws Exception {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < end) {
            Http.Message answer = mOperator.order("GET", "/Rollouts.Get/desk", "", 2_000);
            String state = answer == null ? "" : Json.text(answer.text(), "state");
            if (state.equals("completed") || state.equals("rolled_back")) {
                return state;
            }
            Thread.sleep(250);
        }
        return "running";
    }

    /** Returns the requests that reached the service in a time. */
    int arrivals(long fromNanos, long toNanos) {
        return arrivals(mReplicas, fromNanos, toNanos);
    }

    static int arrivals(List<Replica> replicas, long fromNanos, long toNanos) {
        return (int)
                replicas.stream()
                        .flatMap(r -> r.mArrivals.stream())
                        .filter(a -> a.nanos() >= fromNanos && a.nanos() < toNanos)
                        .count();
    }

    static int badAnswers(List<Replica> replicas) {
        return replicas.stream().mapToInt(r -> r.mBad.get()).sum();
    }

    @Override
    public void close() {
        mCallers.close();
        mReplicas.forEach(Replica::close);
    }
}
