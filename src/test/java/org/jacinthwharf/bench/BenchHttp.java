package org.jacinthwharf.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.jacinthwharf.process.settings.Endpoint;

/** Sends blocking requests to operator and admin ports. Thread-safe. */
final class BenchHttp {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long TIMEOUT_SECONDS = 10;

    final HttpClient mClient = new HttpClient();
    private final String mToken;

    BenchHttp(String token) throws Exception {
        mToken = token;
        mClient.setFollowRedirects(false);
        mClient.setMaxConnectionsPerDestination(2_000);
        mClient.setMaxRequestsQueuedPerDestination(50_000);
        mClient.start();
        mClient.getProtocolHandlers().clear();
    }

    /** Returns the body of the response; empty if there is none with status 200. */
    String get(Endpoint endpoint, String path) throws InterruptedException {
        try {
            ContentResponse response =
                    mClient.newRequest("http://" + endpoint + path)
                            .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                            .send();
            return response.getStatus() == 200 ? response.getContentAsString() : "";
        } catch (ExecutionException | TimeoutException e) {
            return "";
        }
    }

    /** Returns the JSON body of the response; a missing node if there is none. */
    JsonNode json(Endpoint endpoint, String path) throws Exception {
        return JSON.readTree(get(endpoint, path));
    }

    /**
     * Commits a change and returns its revision.
     *
     * @throws IllegalStateException if no member commits it within 60 s
     */
    long change(List<Endpoint> members, String path, String body) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        String id = UUID.randomUUID().toString();
        String last = "";
        while (System.nanoTime() < end) {
            for (Endpoint member : members) {
                URI target = URI.create("http://" + member + path);
                for (int i = 0; i < 3; i++) {
                    ContentResponse response = tryPost(target, id, body);
                    if (response == null) {
                        break;
                    }
                    last = response.getStatus() + " " + response.getContentAsString();
                    if (response.getStatus() == 200) {
                        return JSON.readTree(response.getContentAsString())
                                .path("revision")
                                .asLong();
                    }
                    String location = response.getHeaders().get("Location");
                    if (response.getStatus() != 307 || location == null) {
                        break;
                    }
                    target = target.resolve(location);
                }
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        throw new IllegalStateException("change " + path + " not committed: " + last);
    }

    private ContentResponse tryPost(URI target, String id, String body)
            throws InterruptedException {
        Request request =
                mClient.POST(target)
                        .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .headers(
                                h ->
                                        h.put("Authorization", "Bearer " + mToken)
                                                .put("X-Command-Id", id))
                        .body(new StringRequestContent("application/json", body));
        try {
            return request.send();
        } catch (ExecutionException | TimeoutException e) {
            return null;
        }
    }
}
