import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/** A requester that sends one request at a time to one gateway. Used by one thread. */
final class Caller {
    private static final AtomicInteger IDS = new AtomicInteger();

    private final String address;
    private final Fleet.Record record;
    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();

    Caller(String address, Fleet.Record record) {
        this.address = address;
        this.record = record;
    }

    /** Sends a request and returns the status of its answer, 0 if there was none. */
    int send() throws InterruptedException {
        String id = String.format("%016x", IDS.incrementAndGet());
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + "/p/x"))
                        .timeout(Duration.ofSeconds(4))
                        .header("Request-Id", id)
                        .header("Deadline-Ms", "3000")
                        .header("Key", Platform.KEY)
                        .POST(HttpRequest.BodyPublishers.ofString("body " + id))
                        .build();
        int status;
        try {
            status = client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException e) {
            status = 0;
        }
        record.add("request %s to %s: %d", id, address, status);
        return status;
    }
}
