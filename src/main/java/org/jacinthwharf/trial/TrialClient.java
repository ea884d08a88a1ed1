package org.jacinthwharf.trial;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.jacinthwharf.process.settings.Endpoint;

/**
 * Sends requests to routers as a caller does.
 *
 * <p>Thread-safe. Every method blocks until the complete answer has arrived, at most 35 s.
 */
final class TrialClient {
    private static final long TIMEOUT_SECONDS = 35;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient mClient;

    TrialClient(HttpClient client) {
        mClient = client;
    }

    /** A complete answer; {@code status} is 0 if there was none. */
    record Answer(int status, String body) {}

    /** Requests {@code tokens} tokens; {@code query} is appended to the path. */
    Answer generate(
            Endpoint router,
            String customer,
            String model,
            String prompt,
            int tokens,
            boolean stream,
            String query) {
        ObjectNode body = JSON.createObjectNode().put("prompt", prompt).put("tokens", tokens);
        return send(
                mClient.POST("http://" + router + "/v1/generate" + query)
                        .headers(
                                h -> {
                                    h.put("X-Customer", customer);
                                    h.put("X-Model", model);
                                    if (stream) {
                                        h.put("Accept", "text/event-stream");
                                    }
                                })
                        .body(new StringRequestContent("application/json", body.toString())));
    }

    /** Sends a call with the given headers. */
    Answer call(
            Endpoint router, String method, String path, Map<String, String> headers, String body) {
        Request request =
                mClient.newRequest("http://" + router + path)
                        .method(method)
                        .headers(h -> headers.forEach(h::put));
        return send(
                body.isEmpty()
                        ? request
                        : request.body(new StringRequestContent("application/json", body)));
    }

    private static Answer send(Request request) {
        try {
            ContentResponse response = request.timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).send();
            return new Answer(response.getStatus(), response.getContentAsString());
        } catch (ExecutionException | TimeoutException e) {
            return new Answer(0, "no answer: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, "interrupted");
        }
    }
}
