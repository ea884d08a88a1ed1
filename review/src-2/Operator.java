import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The operator: sends an order to one control machine after the other until it has a clear answer,
 * and follows redirects twice.
 */
final class Operator {
    private static final int TIMEOUT_MILLIS = 1_000;

    private final Supplier<List<String>> mControl;
    private final Record mRecord;
    private int mNext;

    /** Creates an operator with a list of control addresses, which may change. */
    Operator(Supplier<List<String>> control, Record record) {
        mControl = control;
        mRecord = record;
    }

    /** Sends an order until it is acknowledged or refused, or time is over; returns the answer or null. */
    Http.Message order(String method, String path, String body, long patienceMillis)
            throws InterruptedException {
        long end = System.nanoTime() + patienceMillis * 1_000_000;
        long pause = 50;
        while (System.nanoTime() < end) {
            Http.Message answer = once(method, path, body);
            if (answer != null && answer.status() < 500 && answer.status() != 408 && answer.status() != 429) {
                return answer;
            }
            Thread.sleep(pause);
            pause = Math.min(500, pause * 3 / 2);
        }
        return null;
    }

    private Http.Message once(String method, String path, String body) {
        List<String> control = mControl.get();
        String address = control.get(Math.floorMod(mNext++, control.size()));
        String target = path;
        Http.Message answer = null;
        for (int hop = 0; hop <= 2; hop++) {
            try {
                answer =
                        Http.call(
                                address,
                                method,
                                target,
                                Map.of("Content-Type", "application/json"),
                                body.getBytes(StandardCharsets.UTF_8),
                                TIMEOUT_MILLIS);
            } catch (IOException e) {
                mRecord.line("operator: %s %s at %s: no answer (%s)", method, path, address, e.getMessage());
                return null;
            }
            if (answer == null) {
                return null;
            }
            mRecord.line("operator: %s %s at %s: %d", method, path, address, answer.status());
            if (answer.status() != 307) {
                return answer;
            }
            String location = answer.header("Location").substring("http://".length());
            address = location.substring(0, location.indexOf('/'));
            target = location.substring(location.indexOf('/'));
        }
        return null;
    }
}
