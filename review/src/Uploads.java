import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Several requesters upload a body each at the same time, on a front that also serves small
 * requests. The bodies are a little smaller than maxBodyBytes (with TROUBLE=0: 4 kB).
 */
final class Uploads {
    private static final int TIMEOUT_MILLIS = 3_000;
    private static final String KEY = "asnmgkcuyj8pjbvk9m68";
    private static final int UPLOADERS = 20;
    private static final int SMALL = 12;

    private Uploads() {}

    public static void main(String[] args) {
        Kit.run(args, Uploads::body);
    }

    private static int body(Kit.Record record) throws Exception {
        int bytes = Kit.trouble() ? 4_000_000 : 4_000;
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
        Set<String> cut = ConcurrentHashMap.newKeySet();
        List<Kit.Replica> replicas = new ArrayList<>();
        try (Kit.Fleet fleet = new Kit.Fleet(record, 3, 2)) {
            fleet.start();
            String first =
                    Kit.config(
                            1,
                            List.of(
                                    Kit.route("hire", "/hire/", "non_idempotent", "ledger", 1),
                                    Kit.route("read", "/read/", "idempotent", "ledger", 2)),
                            "ledger",
                            Kit.tenant("hule930", KEY));
            if (fleet.orderUntilClear("POST", "/Config.Put", first, 30_000) != 200) {
                throw new Kit.CouldNotRun("no ack of the first desired state");
            }
            for (int i = 0; i < 4; i++) {
                String zone = i % 2 == 0 ? "quetzaltenango" : "totonicapan";
                replicas.add(new Kit.Replica(fleet, "i-" + i, "ledger", "v1", zone, 12));
            }
            Kit.await("ready fronts", 20_000, () -> fleet.isReady(0) && fleet.isReady(1));
            Kit.pause(3_000);
            AtomicInteger ends = new AtomicInteger();
            fleet.watch(ends);
            boolean[] stop = {false};
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < SMALL + UPLOADERS; i++) {
                boolean upload = i >= SMALL;
                String path = i % 2 == 0 ? "/read/1" : "/hire/1";
                Runnable requester =
                        () -> {
                            Kit.Requester r = new Kit.Requester(fleet.front(0));
                            byte[] content = new byte[upload ? bytes : 600];
                            if (upload) {
                                Kit.pause(4_000);
                            }
                            while (!stop[0]) {
                                String id = UUID.randomUUID().toString();
                                sent.incrementAndGet();
                                Map<String, String> headers =
                                        Map.of("Key", KEY, "Deadline-Ms", "" + TIMEOUT_MILLIS);
                                Kit.Result a =
                                        r.send(
                                                "POST",
                                                "shop.example",
                                                path,
                                                id,
                                                headers,
                                                content,
                                                TIMEOUT_MILLIS + 700);
                                String kind = upload ? "large" : "small";
                                record.line(
                                        "sent %s %s: %s %d after %d ms",
                                        kind, id, a.seen(), a.status(), a.millis());
                                outcomes.computeIfAbsent(
                                                kind + " " + a.seen() + " " + a.status(),
                                                k -> new AtomicInteger())
                                        .incrementAndGet();
                                if (a.millis() >= TIMEOUT_MILLIS) {
                                    late.incrementAndGet();
                                }
                                if (a.seen() == Kit.Seen.NOTHING) {
                                    unanswered.incrementAndGet();
                                }
                                if (a.seen() == Kit.Seen.CLOSED) {
                                    cut.add(id);
                                }
                                if (upload) {
                                    return; // One upload each.
                                }
                                Kit.pause(a.retryMillis());
                            }
                        };
                Thread t = new Thread(requester);
                t.setDaemon(true);
                threads.add(t);
                t.start();
            }
            Kit.pause(24_000);
            stop[0] = true;
            for (Thread t : threads) {
                t.join();
            }
            long lost =
                    cut.stream()
                            .filter(id -> replicas.stream().anyMatch(r -> r.mRuns.containsKey(id)))
                            .count();
            record.say("outcomes %s", new java.util.TreeMap<>(outcomes));
            record.say(
                    "sent=%d closed without an answer=%d, of which passed on to a replica=%d; not"
                            + " answered at the route's timeout=%d, nor half a second later=%d;"
                            + " ends of processes=%d",
                    sent.get(), cut.size(), lost, late.get(), unanswered.get(), ends.get());
            for (String ip : fleet.mFronts) {
                fleet.recordLog(ip, "OutOf|invariant|Exception", 5);
                fleet.recordLog(ip, "event=control_lost|event=link_failed", 5);
            }
            boolean hung = unanswered.get() > 0 && 2 * unanswered.get() > late.get();
            return hung || lost > 3 ? Kit.BROKEN : Kit.HELD;
        }
    }
}
