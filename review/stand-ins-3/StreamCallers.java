import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters that send requests for streams at a steady rate, each on a new connection, and read
 * the events as they arrive. Thread-safe.
 */
final class StreamCallers implements AutoCloseable {
    private static final int DEADLINE_MS = 12_000;

    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger whole = new AtomicInteger();

    /** Whole streams with a pause between events that is longer than the route's gapSloMs. */
    final AtomicInteger late = new AtomicInteger();

    private final List<String> gateways;
    private final int port;
    private final Fleet.Record record;
    private final ExecutorService pool =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread t = new Thread(task);
                        t.setDaemon(true);
                        return t;
                    });
    private volatile boolean ended;

    StreamCallers(List<String> gateways, int port, int perSecond, Fleet.Record record) {
        this.gateways = gateways;
        this.port = port;
        this.record = record;
        pool.execute(() -> send(perSecond));
    }

    private void send(int perSecond) {
        long next = System.nanoTime();
        while (!ended) {
            next += 1_000_000_000L / perSecond;
            try {
                Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
                return;
            }
            int number = sent.incrementAndGet();
            pool.execute(() -> request(number));
        }
    }

    private void request(int number) {
        String id = String.format("%016x", number);
        String gateway = gateways.get(number % gateways.size());
        String outcome;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway, port), 1_000);
            socket.setSoTimeout(DEADLINE_MS);
            String head =
                    "POST /p/x HTTP/1.1\r\nHost: " + Platform.HOST + "\r\nRequest-Id: " + id
                            + "\r\nDeadline-Ms: " + DEADLINE_MS + "\r\nKey: " + Platform.KEY
                            + "\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            outcome = read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            outcome = e.toString();
        }
        record.file("request %s to %s: %s", id, gateway, outcome);
    }

    private String read(InputStream in) throws IOException {
        StreamReplica.Head head = StreamReplica.Head.read(in);
        if (head == null || !head.line().startsWith("HTTP/1.1 200 ")) {
            return head == null ? "closed" : head.line();
        }
        int events = 0;
        long pauseNanos = 0;
        long lastNanos = 0;
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith("0\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return "cut after " + events + " events";
            }
            text.append((char) b);
            if (text.toString().endsWith("\n\n")) {
                long now = System.nanoTime();
                pauseNanos = events == 0 ? 0 : Math.max(pauseNanos, now - lastNanos);
                lastNanos = now;
                events++;
                text.setLength(0);
            }
        }
        if (events == StreamReplica.EVENTS) {
            whole.incrementAndGet();
        }
        if (pauseNanos > SlowEvents.GAP_SLO_MS * 1_000_000L) {
            late.incrementAndGet();
        }
        return events + " events, longest pause " + pauseNanos / 1_000_000 + " ms";
    }

    @Override
    public void close() {
        ended = true;
    }
}
