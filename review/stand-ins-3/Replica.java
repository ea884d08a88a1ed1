import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound replica: announces itself, runs what names it, answers with id, seal and body. Runs in
 * the process of the script.
 */
final class Replica implements AutoCloseable {
    private final String id;
    private final String service;
    private final String address;
    private final int port;
    private final List<Integer> members;
    private final Fleet fleet;
    private final Fleet.Record record;
    private final long born = System.currentTimeMillis();
    private final AtomicLong sequence = new AtomicLong();
    private final HttpServer server;
    private final ScheduledExecutorService beats = Executors.newSingleThreadScheduledExecutor();
    private volatile int member;

    Replica(
            String id,
            String service,
            String address,
            List<Integer> members,
            Fleet fleet,
            Fleet.Record record)
            throws IOException {
        this.id = id;
        this.service = service;
        this.address = address;
        this.members = members;
        this.fleet = fleet;
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(address, 0), 100);
        port = server.getAddress().getPort();
        server.createContext("/", this::answer);
        server.setExecutor(Executors.newFixedThreadPool(8));
        server.start();
        beats.scheduleWithFixedDelay(this::beat, 0, 1_200, TimeUnit.MILLISECONDS);
    }

    /** Announces the replica; calls the next member if one does not acknowledge. */
    private void beat() {
        String body =
                "{\"service\":\"" + service + "\",\"addr\":\"" + address + ":" + port
                        + "\",\"zone\":\"lhr-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                        + "\"coldLeftMs\":0,\"born\":" + born
                        + ",\"seq\":" + sequence.incrementAndGet() + "}";
        try {
            for (int i = 0; i < members.size(); i++) {
                String to = fleet.ip(members.get(member % members.size())) + ":" + fleet.httpPort;
                int status = fleet.call("POST", to, "/Replicas.Heartbeat/" + id, body).status();
                if (status >= 200 && status < 300) {
                    return;
                }
                member++;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        String request = exchange.getRequestHeaders().getFirst("Request-Id");
        String expected = exchange.getRequestHeaders().getFirst("Expect-Replica");
        exchange.getResponseHeaders().set("Replica-Id", id);
        if (exchange.getRequestURI().getPath().equals("/health")) {
            send(exchange, 200, "");
        } else if (expected != null && !expected.equals(id)) {
            exchange.getResponseHeaders().set("Not-Executed", "1");
            send(exchange, 421, "");
        } else {
            exchange.getResponseHeaders().set("Request-Id", request);
            exchange.getResponseHeaders().set("Response-Seal", "seal." + id + "." + request);
            record.add("replica %s runs %s", id, request);
            send(exchange, 200, "done " + request);
        }
        exchange.close();
    }

    private static void send(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    @Override
    public void close() {
        beats.shutdownNow();
        server.stop(0);
        ((java.util.concurrent.ExecutorService) server.getExecutor()).shutdownNow();
    }
}
