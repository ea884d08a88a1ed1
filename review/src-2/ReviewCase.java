import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs one case: {@code CLASS FOLDER}. The class has a method {@code run} that takes a {@link Context}
 * and returns whether the rule was broken. Exits with 1 if the rule was broken, 0 if it held, else 2.
 */
public final class ReviewCase {
    /** The case gives up after this time. */
    private static final int LIMIT_MILLIS = 115_000;

    static final int SYNC_MILLIS = 4_000;
    static final int CONTACT_MILLIS = 3_000;
    static final int DRAIN_MILLIS = 2_000;
    static final int GRACE_MILLIS = 8_000;
    static final int RECOVERY_MILLIS = 12_000;
    static final double RETRY_RATIO = 0.2;
    static final int RETRY_WINDOW_MILLIS = 10_000;
    static final int RETRY_SLACK = 54;
    static final double CANARY_SHARE = 0.1;
    static final int CANARY_SLACK = 50;

    /** What a case needs; one is made for each run. */
    static final class Context {
        final Record mRecord;
        final Fleet mFleet;
        final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));

        Context(Record record, Fleet fleet) {
            mRecord = record;
            mFleet = fleet;
        }
    }

    /** Thrown if a case could not be run. */
    static final class CannotRun extends Exception {
        CannotRun(String reason) {
            super(reason);
        }
    }

    private ReviewCase() {}

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[1]);
        Path temporary = Files.createTempDirectory("review-2-");
        int code = 2;
        try (Record record = new Record(folder.resolve("record.txt"))) {
            Context context = new Context(record, new Fleet(temporary, record, bounds()));
            watch(context);
            try {
                record.show("case %s, trouble %b", args[0], context.mTrouble);
                boolean broken =
                        (boolean) Class.forName(args[0]).getDeclaredMethod("run", Context.class).invoke(null, context);
                record.show(broken ? "BROKEN" : "held");
                code = broken ? 1 : 0;
            } catch (InvocationTargetException e) {
                record.show("could not run: %s", e.getCause());
            } catch (ReflectiveOperationException e) {
                record.show("could not run: %s", e);
            } finally {
                context.mFleet.close();
                if (System.getenv("KEEP_LOGS") == null) {
                    delete(temporary);
                } else {
                    System.out.println("logs: " + temporary);
                }
            }
        }
        Runtime.getRuntime().halt(code);
    }

    private static void watch(Context context) {
        Thread t =
                new Thread(() -> {
                    try {
                        Thread.sleep(LIMIT_MILLIS);
                        context.mRecord.show("could not run: time is over");
                        context.mFleet.close();
                        Runtime.getRuntime().halt(2);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        t.setDaemon(true);
        t.start();
    }

    private static void delete(Path folder) throws IOException, InterruptedException {
        Thread.sleep(300);
        List<Path> all = new ArrayList<>();
        try (var files = Files.walk(folder)) {
            files.forEach(all::add);
        }
        for (int i = all.size() - 1; i >= 0; i--) {
            Files.deleteIfExists(all.get(i));
        }
    }

    /** Bounds of the small deployment qasim-jw. */
    private static Map<String, Object> bounds() {
        Map<String, Object> b = new LinkedHashMap<>();
        b.put("graceS", GRACE_MILLIS / 1_000);
        b.put("retryRatio", RETRY_RATIO);
        b.put("retryWindowS", RETRY_WINDOW_MILLIS / 1_000);
        b.put("retrySlack", RETRY_SLACK);
        return b;
    }

    /** A desired state with one route to one plain service. */
    static String desiredState(long version, String kind, int attempts, int timeoutMillis) {
        return desiredState(version, kind, attempts, timeoutMillis, 0, 0);
    }

    /** A desired state whose service takes few requests while a server is cold. */
    static String desiredState(
            long version, String kind, int attempts, int timeoutMillis, double coldSeconds, double coldRate) {
        return "{\"version\":" + version
                + ",\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"prefix\":\"/a/\",\"kind\":\"" + kind
                + "\",\"timeoutMs\":" + timeoutMillis + ",\"sloMs\":400,\"priority\":1,\"service\":\"desk\","
                + "\"attempts\":" + attempts + ",\"anonymous\":false,\"sticky\":false,\"resumable\":false}],"
                + "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":100,\"proto\":\"h1\","
                + "\"tls\":false,\"coldStartS\":" + coldSeconds + ",\"coldPerS\":" + coldRate + "}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key1\"],\"priority\":1}]}";
    }

    static void put(Operator operator, String state, long patienceMillis) throws CannotRun, InterruptedException {
        Http.Message answer = operator.order("POST", "/Config.Put", state, patienceMillis);
        if (answer == null || answer.status() != 200) {
            throw new CannotRun("the desired state was not acknowledged: " + answer);
        }
    }

    /** Waits until a gateway serves. */
    static void awaitServed(Callers callers, int served, long patienceMillis) throws CannotRun, InterruptedException {
        long end = System.nanoTime() + patienceMillis * 1_000_000;
        while (callers.mServed.get() < served) {
            if (System.nanoTime() > end) {
                throw new CannotRun("the fleet does not serve");
            }
            Thread.sleep(50);
        }
    }
}
