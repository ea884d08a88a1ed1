import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A part of a prompt crashes each engine that begins to write an answer on it. The first event is
 * out when the engine crashes.
 */
final class CrashingPart {
    private static final String PART = "bad0c0de";
    private static final int SOUND_PER_SECOND = 20;

    /** A request with the part comes this often. */
    private static final int CRASHING_EVERY_MILLIS = 1_000;

    private static final int SECONDS = 25;
    private static final int MAX_AFTER_FIFTH_CRASH = 3;

    private CrashingPart() {}

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
        ReviewCase.put(operator, desiredState(), 20_000);
        Engine.Crash crash =
                "head".equals(System.getenv("CRASH_AFTER")) ? Engine.Crash.AFTER_HEAD : Engine.Crash.AFTER_FIRST_EVENT;
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            int zone = 1 + i % 3;
            engines.add(new Engine("e-" + i, "z" + zone, fleet.serverIp(zone, 60 + i), PART, crash, () -> control, c.mRecord));
        }
        Thread.sleep(2_500 + 2 * ReviewCase.CONTACT_MILLIS);
        ExecutorService pool = Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r, "caller");
            t.setDaemon(true);
            return t;
        });
        AtomicInteger sound = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        Random random = new Random();
        long start = System.nanoTime();
        long nextCrashing = start + 2_000_000_000L;
        int sent = 0;
        for (long next = start; next < start + SECONDS * 1_000_000_000L; next += 1_000_000_000L / SOUND_PER_SECOND) {
            Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
            String gateway = fronts.get(random.nextInt(fronts.size())).front();
            if (c.mTrouble && System.nanoTime() >= nextCrashing) {
                nextCrashing += CRASHING_EVERY_MILLIS * 1_000_000L;
                sent++;
                String last = String.format("%08x", random.nextInt());
                pool.execute(() -> request(c.mRecord, gateway, "5c1e07a2:800," + PART + ":410," + last + ":250"));
            }
            String last = String.format("%08x", random.nextInt());
            pool.execute(() -> {
                sound.incrementAndGet();
                if (request(c.mRecord, gateway, "5c1e07a2:800,91bd3f06:410," + last + ":250")) {
                    whole.incrementAndGet();
                }
            });
        }
        Thread.sleep(2_500);
        List<Long> crashes = new ArrayList<>();
        engines.forEach(e -> crashes.addAll(e.mCrashNanos));
        Collections.sort(crashes);
        int late = 0;
        if (crashes.size() >= 5) {
            long from = crashes.get(4) + ReviewCase.CONTACT_MILLIS * 1_000_000L;
            late = (int) engines.stream().flatMap(e -> e.mCrashing.stream()).filter(a -> a.nanos() > from).count();
        }
        c.mRecord.show("%d requests with the part were sent, %d crashes; %d such requests or repeats reached engines later than"
                        + " %d ms after the fifth crash, allowed are %d; of %d sound requests %d got a whole stream",
                sent, crashes.size(), late, ReviewCase.CONTACT_MILLIS, MAX_AFTER_FIFTH_CRASH, sound.get(), whole.get());
        engines.forEach(Engine::close);
        return late > MAX_AFTER_FIFTH_CRASH;
    }

    private static boolean request(Record record, String gateway, String parts) {
        String id = String.format("%016x", java.util.concurrent.ThreadLocalRandom.current().nextLong());
        String outcome;
        boolean whole = false;
        try {
            Http.Message answer =
                    Http.call(gateway, "POST", "/a/x",
                            Map.of("Host", "h.example", "Request-Id", id, "Key", "key1", "Deadline-Ms", "8000",
                                    "Model", "m", "Token-Count", "1460,80", "Prefix-Hash", parts),
                            new byte[] {'x'}, 8_000);
            outcome = answer == null ? "closed" : Integer.toString(answer.status());
            whole = answer != null && answer.status() == 200;
        } catch (IOException e) {
            outcome = String.valueOf(e.getMessage());
        }
        record.line("caller: %s %s at %s: %s", id, parts, gateway, outcome);
        return whole;
    }

    private static String desiredState() {
        return "{\"version\":4,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"prefix\":\"/a/\",\"kind\":\"stream\","
                + "\"timeoutMs\":8000,\"sloMs\":800,\"priority\":1,\"service\":\"desk\",\"attempts\":2,\"anonymous\":false,"
                + "\"sticky\":true,\"resumable\":true,\"gapSloMs\":250}],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\","
                + "\"maxConns\":360,\"proto\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0,\"engine\":{\"slots\":64,"
                + "\"kvCapacity\":629585,\"kvTokenBytes\":35136,\"linkMbps\":1500000.0,\"moves\":false,\"backups\":false,\"stride\":7,"
                + "\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleTtlS\":5.0,\"models\":[{\"name\":\"m\"}]}}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,"
                + "\"tokensPerS\":203000},\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key1\"],\"priority\":1}]}";
    }
}
