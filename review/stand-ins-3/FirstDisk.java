import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * One of the three machines of the core loses its disk while the system starts for the first time,
 * and restarts at its address, with an empty disk and with bootstrap set to false. Checks that the
 * first desired state is acknowledged, and that requests are served.
 */
final class FirstDisk {
    private static final int GATEWAY = 11;

    /** The first of the seeds. */
    private static final int LOST =
            Integer.parseInt(System.getenv().getOrDefault("LOST_MACHINE", "1"));

    private static final long LOSS_MS = 300;
    private static final long DOWN_MS = 1_000;
    private static final int WATCH_S = 40;

    private FirstDisk() {}

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
        Platform.HOST = fleet.ip(GATEWAY);
        List<Integer> members = List.of(1, 2, 3);
        for (int m : members) {
            fleet.start(m, "control", true);
        }
        fleet.start(GATEWAY, "gateway", true);
        if (trouble) {
            Thread.sleep(LOSS_MS);
            fleet.kill(LOST);
            fleet.wipe(LOST);
            Thread.sleep(DOWN_MS);
            fleet.start(LOST, "control", false);
        }
        double stable = record.seconds() + Fleet.CONTACT_MS / 1e3;
        record.add("with contactMs, the core is stable from %.3f on", stable);
        int served = 0;
        try (Replica replica =
                new Replica("i-1", Platform.SERVICE, fleet.ip(21), members, fleet, record)) {
            record.add("the first desired state is sent until it is acknowledged");
            Fleet.Answer answer =
                    fleet.order(
                            "POST",
                            "/Config.Put",
                            Platform.desiredState(10, "non_idempotent"),
                            members,
                            Duration.ofSeconds(WATCH_S));
            record.add("the first desired state: %d %s", answer.status(), answer.body().trim());
            Thread.sleep(4_000);
            Caller caller = new Caller(fleet.ip(GATEWAY) + ":" + fleet.httpPort, record);
            for (int i = 0; i < 20; i++) {
                served += caller.send() == 200 ? 1 : 0;
                Thread.sleep(200);
            }
            record.add("%d of 20 requests are served", served);
            for (int m : members) {
                record.add("machine %d: %s", m, fleet.lastLine(m, "event=raft_state_changed"));
                if (!fleet.isAlive(m)) {
                    record.add("the process on machine %d has ended", m);
                    return 2;
                }
            }
            return answer.status() == 200 && served > 0 ? 0 : 1;
        }
    }
}
