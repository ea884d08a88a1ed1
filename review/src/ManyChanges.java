import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator sends several hundred desired states one after the other. Each holds 362 more routes
 * than the first one (with TROUBLE=0: none more).
 */
final class ManyChanges {
    private static final int CHANGES = 900;
    private static final int MORE_ROUTES = 362;
    /** The bound ackMs of the sites, with 3 ms more for each of 375 routes. */
    private static final long OVERTAKE_NANOS = 5_125_000_000L;

    private static final long CHANGES_NANOS = 65_000_000_000L;

    private ManyChanges() {}

    public static void main(String[] args) {
        Kit.run(args, ManyChanges::body);
    }

    private static int body(Kit.Record record) throws Exception {
        AtomicInteger ends = new AtomicInteger();
        try (Kit.Fleet fleet = new Kit.Fleet(record, 3, 1)) {
            fleet.start();
            String tenant = Kit.tenant("hule930", "asnmgkcuyj8pjbvk9m68");
            List<String> routes = new ArrayList<>();
            for (int i = 0; i < 13; i++) {
                routes.add(Kit.route("r-" + i, "/base" + i + "/", "idempotent", "trade", 2));
            }
            String first = Kit.config(1, routes, "trade", tenant);
            if (fleet.orderUntilClear("POST", "/Config.Put", first, 30_000) != 200) {
                throw new Kit.CouldNotRun("no ack of the first desired state");
            }
            Kit.await("a ready front", 20_000, () -> fleet.isReady(0));
            fleet.watch(ends);
            for (int i = 0; Kit.trouble() && i < MORE_ROUTES; i++) {
                routes.add(
                        "{\"name\":\"r-3j6q5r"
                                + i
                                + "\",\"host\":\"ficu95.example\",\"prefix\":\"/lohu"
                                + i
                                + "/\",\"kind\":\"stream\",\"timeoutMs\":12000,\"sloMs\":800,"
                                + "\"priority\":1,\"split\":[{\"service\":\"trade\",\"weight\":90},"
                                + "{\"service\":\"trade\",\"weight\":10}],\"attempts\":2,"
                                + "\"anonymous\":false,\"sticky\":true,\"resumable\":true,"
                                + "\"gapSloMs\":250}");
            }
            int acked = 0;
            int control = 0;
            int unacked = 0;
            long endNanos = System.nanoTime() + CHANGES_NANOS;
            for (int version = 2; version <= CHANGES + 1; version++) {
                String change = Kit.config(version, routes, "trade", tenant);
                if (version == 2) {
                    record.say("each desired state has %d bytes", change.length());
                }
                boolean done = false;
                long overtakenNanos = System.nanoTime() + OVERTAKE_NANOS;
                while (!done && System.nanoTime() < overtakenNanos) {
                    int status = fleet.order(control, "POST", "/Config.Put", change, 2_000);
                    done = status == 200;
                    if (!done) {
                        record.line("version %d at core %d: %d", version, control, status);
                        control = (control + 1) % 3;
                        Kit.pause(100);
                    }
                }
                if (System.nanoTime() > endNanos) {
                    break;
                }
                if (!done) {
                    unacked++;
                    continue; // The operator's next change overtakes it.
                }
                acked = version;
                if (version % 50 == 0) {
                    record.line("version %d acknowledged", version);
                }
            }
            record.say(
                    "last version acknowledged: %d; without an ack for ackMs: %d", acked, unacked);
            int evacuation = fleet.orderUntilClear("POST", "/Evacuate.Start/totonicapan", "", 4_000);
            record.say("Evacuate.Start after it: %d", evacuation);
            record.say(
                    "desired state read back: %.14s; processes that ended by themselves: %d",
                    fleet.read("/Config.Get"), ends.get());
            for (String ip : fleet.mControls) {
                Process p = fleet.mProcesses.get(ip);
                record.say(
                        "processor time of control %s: %s s",
                        ip, p.info().totalCpuDuration().map(d -> "" + d.toSeconds()).orElse("?"));
                fleet.recordLog(ip, "OutOfMemory|invariant_broken|raft_state_changed", 12);
            }
            return unacked > 0 || ends.get() >= 3 ? Kit.BROKEN : Kit.HELD;
        }
    }
}
