import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A version of a service whose streams begin in time, and in a part of which all later events come
 * several times slower, is rolled out. Counts the requests that it gets until its time budget is
 * over.
 */
final class SlowEvents {
    static final int GAP_SLO_MS = 250;

    /** Limits of the sheet (qasim-jw). */
    private static final double CANARY_SHARE = 0.1;

    private static final int CANARY_SLACK = 50;

    private static final int RAMP_S = 30;
    private static final int PER_SECOND = 200;
    private static final int REPLICAS = 6;
    private static final double SLOW_PART = 0.4;
    private static final int SLOW_GAP_MS = 300;
    private static final List<Integer> CORE = List.of(1, 2, 3);
    private static final List<Integer> GATEWAYS = List.of(11, 12);

    private SlowEvents() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Fleet.Record record = new Fleet.Record(Path.of(args[0], "record.txt"));
        int result;
        try (Fleet fleet = new Fleet(record)) {
            result = run(fleet, record, trouble);
        }
        record.add("exit code %d", result);
        System.exit(result);
    }

    private static int run(Fleet fleet, Fleet.Record record, boolean trouble) throws Exception {
        for (int m : CORE) {
            fleet.start(m, "control", true);
        }
        for (int m : GATEWAYS) {
            fleet.start(m, "gateway", true);
        }
        Fleet.Answer state =
                fleet.order(
                        "POST",
                        "/Config.Put",
                        Platform.streamState(10, GAP_SLO_MS),
                        CORE,
                        Duration.ofSeconds(20));
        if (state.status() != 200) {
            record.add("could not run: the desired state: %d %s", state.status(), state.body());
            return 2;
        }
        List<StreamReplica> old = replicas("v1", 21, fleet, record, 0);
        List<String> gateways = GATEWAYS.stream().map(fleet::ip).toList();
        try (StreamCallers callers =
                new StreamCallers(gateways, fleet.httpPort, PER_SECOND, record)) {
            // The core has to be stable and the gateways in touch.
            Thread.sleep(2 * Fleet.CONTACT_MS + 4_000);
            record.add(
                    "before the order: %d requests, %d whole streams, %d of them late",
                    callers.sent.get(), callers.whole.get(), callers.late.get());
            if (callers.whole.get() < PER_SECOND) {
                record.add("could not run: the fleet does not serve");
                return 2;
            }
            long order = System.nanoTime();
            Fleet.Answer ack =
                    fleet.order(
                            "POST",
                            "/Rollouts.Start",
                            "{\"service\":\"" + Platform.SERVICE
                                    + "\",\"target\":\"v2\",\"rampS\":" + RAMP_S + "}",
                            CORE,
                            Duration.ofMillis(Fleet.ACK_MS));
            if (ack.status() != 200) {
                record.add("could not run: the order: %d %s", ack.status(), ack.body());
                return 2;
            }
            record.add("v2 is ordered");
            int sentBefore = callers.sent.get();
            int wholeBefore = callers.whole.get();
            int lateBefore = callers.late.get();
            List<StreamReplica> ordered =
                    replicas("v2", 41, fleet, record, trouble ? SLOW_PART : 0);
            long end = order + RAMP_S * 1_000_000_000L;
            String shown = "";
            while (System.nanoTime() < end) {
                String now =
                        fleet.order(
                                        "GET",
                                        "/Rollouts.Get/" + Platform.SERVICE,
                                        "",
                                        CORE,
                                        Duration.ofSeconds(2))
                                .body()
                                .trim();
                if (!now.equals(shown)) {
                    shown = now;
                    double seconds = (System.nanoTime() - order) / 1e9;
                    record.add("%.1f s after the order: %s", seconds, now);
                }
                Thread.sleep(250);
            }
            Thread.sleep(500);
            int atNew = arrivals(ordered, order, end);
            int all = atNew + arrivals(old, order, end);
            int slow = ordered.stream().mapToInt(r -> r.slowAnswers.get()).sum();
            double allowed = CANARY_SHARE * all + CANARY_SLACK;
            record.add(
                    "from the order to the time budget: requesters sent %d requests, and got %d"
                            + " whole streams, %d of them late",
                    callers.sent.get() - sentBefore,
                    callers.whole.get() - wholeBefore,
                    callers.late.get() - lateBefore);
            record.add(
                    "%d requests reached the service, %d of them v2, which answered %d slowly; a"
                            + " bad version may get %.0f",
                    all, atNew, slow, allowed);
            return slow > 0 && atNew > allowed ? 1 : 0;
        }
    }

    private static List<StreamReplica> replicas(
            String version, int machine, Fleet fleet, Fleet.Record record, double slowPart)
            throws Exception {
        List<StreamReplica> result = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            result.add(
                    new StreamReplica(
                            version, i, machine + i, fleet, record, slowPart, SLOW_GAP_MS));
        }
        return result;
    }

    private static int arrivals(List<StreamReplica> replicas, long from, long to) {
        return (int)
                replicas.stream()
                        .flatMap(r -> r.arrivals.stream())
                        .filter(t -> t >= from && t < to)
                        .count();
    }
}
