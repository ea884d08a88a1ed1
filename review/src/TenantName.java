import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A second desired state adds a tenant; its requesters then use its key. With TROUBLE=0 the name of
 * the tenant has hyphens instead of spaces.
 */
final class TenantName {
    private static final int TIMEOUT_MILLIS = 3_000;
    private static final String OLD_KEY = "asnmgkcuyj8pjbvk9m68";
    private static final String NEW_KEY = "k7b2ex5wa5xwyhks8nbk";

    private TenantName() {}

    /** What the requesters of one tenant saw. */
    private static final class Counts {
        final AtomicInteger mSent = new AtomicInteger();
        final AtomicInteger mServed = new AtomicInteger();
        final AtomicInteger mLate = new AtomicInteger();
        final AtomicInteger mUnanswered = new AtomicInteger();
    }

    public static void main(String[] args) {
        Kit.run(args, TenantName::body);
    }

    private static int body(Kit.Record record) throws Exception {
        String name = Kit.trouble() ? "Posada El Quetzal" : "posada-el-quetzal";
        List<String> routes = List.of(Kit.route("hire", "/hire/", "non_idempotent", "ledger", 1));
        String old = Kit.tenant("hule930", OLD_KEY);
        try (Kit.Fleet fleet = new Kit.Fleet(record, 3, 2)) {
            fleet.start();
            String first = Kit.config(1, routes, "ledger", old);
            if (fleet.orderUntilClear("POST", "/Config.Put", first, 30_000) != 200) {
                throw new Kit.CouldNotRun("no ack of the first desired state");
            }
            Kit.Replica one = new Kit.Replica(fleet, "i-1", "ledger", "v1", "quetzaltenango", 6);
            Kit.Replica two = new Kit.Replica(fleet, "i-2", "ledger", "v1", "totonicapan", 6);
            Kit.await("ready fronts", 20_000, () -> fleet.isReady(0) && fleet.isReady(1));
            Kit.pause(3_000);
            Counts before = load(fleet, record, OLD_KEY, 5_000);
            if (before.mServed.get() < before.mSent.get()) {
                throw new Kit.CouldNotRun("requests failed before the change");
            }
            String second = Kit.config(2, routes, "ledger", old + "," + Kit.tenant(name, NEW_KEY));
            int status = fleet.orderUntilClear("POST", "/Config.Put", second, 4_000);
            record.say("desired state 2 with the tenant '%s': %d", name, status);
            if (status != 200) {
                record.say("refused, so nothing to judge");
                return Kit.HELD;
            }
            Kit.pause(3_000);
            Counts after = load(fleet, record, NEW_KEY, 20_000);
            record.say(
                    "requests with the new key: sent=%d served=%d; not answered at the route's"
                            + " timeout=%d, nor half a second later=%d; runs in all=%d",
                    after.mSent.get(),
                    after.mServed.get(),
                    after.mLate.get(),
                    after.mUnanswered.get(),
                    one.runs() + two.runs());
            for (String ip : fleet.mFronts) {
                fleet.recordLog(ip, "malformed customer id", 3);
            }
            return 2 * after.mUnanswered.get() > after.mLate.get() ? Kit.BROKEN : Kit.HELD;
        }
    }

    private static Counts load(Kit.Fleet fleet, Kit.Record record, String key, long millis)
            throws InterruptedException {
        Counts counts = new Counts();
        long end = System.nanoTime() + millis * 1_000_000;
        Thread[] requesters = new Thread[6];
        for (int i = 0; i < requesters.length; i++) {
            int front = i % 2;
            requesters[i] =
                    new Thread(
                            () -> {
                                Kit.Requester r = new Kit.Requester(fleet.front(front));
                                while (System.nanoTime() < end) {
                                    String id = UUID.randomUUID().toString();
                                    counts.mSent.incrementAndGet();
                                    Kit.Result a =
                                            r.send(
                                                    "POST",
                                                    "shop.example",
                                                    "/hire/1",
                                                    id,
                                                    Map.of(
                                                            "Key",
                                                            key,
                                                            "Deadline-Ms",
                                                            "" + TIMEOUT_MILLIS),
                                                    new byte[600],
                                                    TIMEOUT_MILLIS + 700);
                                    record.line(
                                            "sent %s front=%d: %s %d after %d ms",
                                            id, front, a.seen(), a.status(), a.millis());
                                    if (a.seen() == Kit.Seen.ANSWER && a.status() == 200) {
                                        counts.mServed.incrementAndGet();
                                    }
                                    if (a.millis() >= TIMEOUT_MILLIS) {
                                        counts.mLate.incrementAndGet();
                                    }
                                    if (a.seen() == Kit.Seen.NOTHING) {
                                        counts.mUnanswered.incrementAndGet();
                                    }
                                    Kit.pause(a.retryMillis());
                                }
                            });
            requesters[i].start();
        }
        for (Thread t : requesters) {
            t.join();
        }
        return counts;
    }
}
