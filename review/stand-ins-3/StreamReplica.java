import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A replica of one version that answers each request with a stream of events. In a part of its
 * answers the events after the first one come slowly. Thread-safe.
 */
final class StreamReplica implements AutoCloseable {
    static final int EVENTS = 6;
    static final int FIRST_EVENT_MS = 50;
    static final int GAP_MS = 40;
    static final int SLOTS = 64;

    /** When requests arrived (System.nanoTime). */
    final Queue<Long> arrivals = new ConcurrentLinkedQueue<>();

    final AtomicInteger slowAnswers = new AtomicInteger();
    private final String id;
    private final String version;
    private final String address;
    private final String zone;
    private final Fleet fleet;
    private final Fleet.Record record;
    private final double slowPart;
    private final int slowGapMs;
    private final long born = System.currentTimeMillis();
    private final AtomicLong sequence = new AtomicLong();
    private final ServerSocket server;
    private final ExecutorService connections =
            Executors.newCachedThreadPool(StreamReplica::newDaemon);
    private final ScheduledExecutorService beats =
            Executors.newSingleThreadScheduledExecutor(StreamReplica::newDaemon);
    private int member = 1;

    /**
     * Starts a replica.
     *
     * @param slowPart part of the answers whose events come with gaps of {@code slowGapMs}
     */
    StreamReplica(
            String version,
            int number,
            int machine,
            Fleet fleet,
            Fleet.Record record,
            double slowPart,
            int slowGapMs)
            throws IOException {
        this.id = "i-" + version + "-" + number;
        this.version = version;
        this.address = fleet.ip(machine);
        this.zone = Fleet.zone(1 + number % 3);
        this.fleet = fleet;
        this.record = record;
        this.slowPart = slowPart;
        this.slowGapMs = slowGapMs;
        server = new ServerSocket(0, 200, InetAddress.getByName(address));
        connections.execute(this::accept);
        beats.scheduleWithFixedDelay(this::beat, 0, 1_200, TimeUnit.MILLISECONDS);
    }

    private static Thread newDaemon(Runnable task) {
        Thread t = new Thread(task);
        t.setDaemon(true);
        return t;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                connections.execute(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Head head = Head.read(in); head != null; head = Head.read(in)) {
                in.readNBytes(Integer.parseInt("0" + head.field("content-length")));
                answer(head, socket.getOutputStream());
            }
        } catch (IOException | InterruptedException e) {
            // The gateway has closed the connection, or the replica ends.
        }
    }

    private void answer(Head head, OutputStream out) throws IOException, InterruptedException {
        String request = head.field("request-id");
        if (head.line().startsWith("GET /health ")) {
            write(out, "HTTP/1.1 200 OK\r\nReplica-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        if (!head.field("expect-replica").equals(id)) {
            write(
                    out,
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request
                            + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        arrivals.add(System.nanoTime());
        boolean slow = ThreadLocalRandom.current().nextDouble() < slowPart;
        record.file("replica %s (%s) runs %s%s", id, version, request, slow ? ", slowly" : "");
        Thread.sleep(FIRST_EVENT_MS);
        write(
                out,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + request + "\r\nResponse-Seal: seal." + id + "."
                        + request + "\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= EVENTS; i++) {
            String event = "id: " + i + "\ndata: " + request + "\n\n";
            write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            if (i < EVENTS) {
                Thread.sleep(slow ? slowGapMs : GAP_MS);
            }
        }
        write(out, "0\r\n\r\n");
        if (slow) {
            slowAnswers.incrementAndGet();
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Announces the replica; calls the next member if one does not acknowledge. */
    private void beat() {
        String body =
                String.format(
                        Locale.ROOT,
                        "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"%s\","
                                + "\"slots\":%d,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":%d,"
                                + "\"seq\":%d}",
                        Platform.SERVICE,
                        address,
                        server.getLocalPort(),
                        zone,
                        version,
                        SLOTS,
                        born,
                        sequence.incrementAndGet());
        try {
            for (int i = 0; i < 3; i++) {
                String to = fleet.ip(member) + ":" + fleet.httpPort;
                if (fleet.call("POST", to, "/Replicas.Heartbeat/" + id, body).status() == 200) {
                    return;
                }
                member = 1 + member % 3;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        beats.shutdownNow();
        server.close();
        connections.shutdownNow();
    }

    /** The first line of a message and its fields. */
    record Head(String line, String fields) {
        /** Returns a field in lower case, empty if there is none. */
        String field(String name) {
            for (String field : fields.split("\n")) {
                if (field.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                    return field.substring(name.length() + 1).trim();
                }
            }
            return "";
        }

        /** Returns null at the end of the connection. */
        static Head read(InputStream in) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            String text = "";
            while (!text.endsWith("\r\n\r\n")) {
                int b = in.read();
                if (b < 0) {
                    return null;
                }
                bytes.write(b);
                text = b == '\n' ? bytes.toString(StandardCharsets.ISO_8859_1) : "";
            }
            int end = text.indexOf("\r\n");
            return new Head(text.substring(0, end), text.substring(end + 2).replace("\r", ""));
        }
    }
}
