import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * The machine of the control leader is lost for good and replaced by an empty one at another
 * address. When the loss has stopped counting, another member loses its disk right after it has
 * acknowledged a desired state. Checks that the acknowledged state can be read back.
 */
final class LostLeader {
    private static final int GATEWAY = 11;
    private static final int SUCCESSOR = 4;

    /** From the loss of the machine to the start of its successor; the pages name 1 s at most. */
    private static final long SUCCESSOR_MS =
            Long.parseLong(System.getenv().getOrDefault("SUCCESSOR_MS", "500"));

    /** From the start of the successor to the second loss; the first one counts for syncS. */
    private static final long SECOND_LOSS_MS =
            Long.parseLong(
                    System.getenv()
                            .getOrDefault("SECOND_LOSS_MS", "" + Fleet.SYNC_S * 1_000));

    private LostLeader() {}

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
        List<Integer> members = new ArrayList<>(List.of(1, 2, 3));
        for (int m : members) {
            fleet.start(m, "control", true);
        }
        fleet.start(GATEWAY, "gateway", true);
        if (!put(fleet, record, 10, members, Duration.ofSeconds(30))) {
            return 2;
        }
        List<Integer> callable = new ArrayList<>(members);
        try (Replica replica =
                new Replica("i-1", Platform.SERVICE, fleet.ip(21), callable, fleet, record)) {
            Thread.sleep(Fleet.SYNC_S * 1_000L + Fleet.CONTACT_MS);
            int leader = fleet.leader(members);
            if (leader == 0) {
                return 2;
            }
            Caller caller =
                    new Caller(fleet.ip(GATEWAY) + ":" + fleet.httpPort, record);
            caller.send();
            long lost = System.nanoTime();
            record.add("the leader is machine %d", leader);
            if (trouble) {
                fleet.freeze(leader);
                members.remove(Integer.valueOf(leader));
            }
            sleepUntil(lost, SUCCESSOR_MS);
            if (trouble) {
                fleet.start(SUCCESSOR, "control", false);
                members.add(SUCCESSOR);
            }
            sleepUntil(lost, SUCCESSOR_MS + SECOND_LOSS_MS);
            if (!put(fleet, record, 20, members, Duration.ofSeconds(10))) {
                record.add("no acknowledgement before the second loss");
                return 2;
            }
            if (trouble) {
                int second = fleet.leader(members);
                record.add("members then: %s", fleet.lastLine(second, "event=raft_state_changed"));
                fleet.kill(second);
                fleet.wipe(second);
                Thread.sleep(1_000);
                fleet.start(second, "control", false);
            }
            long back = System.nanoTime();
            sleepUntil(back, Fleet.RECOVERY_S * 1_000L);
            caller.send();
            Fleet.Answer read =
                    fleet.order("GET", "/Config.Get", "", members, Duration.ofSeconds(20));
            int version = Platform.version(read.body());
            record.add("read back: status %d, version %d", read.status(), version);
            boolean acknowledged = put(fleet, record, 30, members, Duration.ofSeconds(20));
            for (int m : members) {
                record.add("machine %d: %s", m, fleet.lastLine(m, "event=raft_state_changed"));
            }
            return read.status() == 200 && version >= 20 && acknowledged ? 0 : 1;
        }
    }

    private static boolean put(
            Fleet fleet, Fleet.Record record, int version, List<Integer> members, Duration time)
            throws InterruptedException {
        record.add("desired state %d is sent", version);
        int status =
                fleet.order(
                                "POST",
                                "/Config.Put",
                                Platform.desiredState(version, "non_idempotent"),
                                members,
                                time)
                        .status();
        record.add("desired state %d: %d", version, status);
        return status == 200;
    }

    private static void sleepUntil(long sinceNanos, long millis) throws InterruptedException {
        long left = millis - (System.nanoTime() - sinceNanos) / 1_000_000;
        if (left > 0) {
            Thread.sleep(left);
        }
    }
}
