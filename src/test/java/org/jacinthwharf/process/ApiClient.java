package org.jacinthwharf.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Sends HTTP requests as callers and operators do.
 *
 * <p>Stateless and thread-safe.
 */
final class ApiClient {
    static final ObjectMapper JSON = new ObjectMapper();

    private static final Duration TIMEOUT = Duration.ofSeconds(40);
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private ApiClient() {}

    /**
     * A response.
     *
     * @param status HTTP status; 0 if there was no complete response
     * @param outcome value of {@code X-Outcome}; empty if absent
     * @param body body of the response; the cause if there was no complete response
     */
    record Answer(int status, String outcome, String body) {
        JsonNode json() throws IOException {
            return JSON.readTree(body);
        }
    }

    /** Sends a request; {@code headers} alternates names and values. */
    static CompletableFuture<Answer> send(
            String method, String address, String path, String body, String... headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(TIMEOUT)
                        .method(method, BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return CLIENT.sendAsync(request.build(), BodyHandlers.ofString())
                .handle((response, failure) -> answer(address, response, failure));
    }

    private static Answer answer(String address, HttpResponse<String> response, Throwable failure) {
        return response == null
                ? new Answer(0, "", "no response from " + address + ": " + failure)
                : new Answer(
                        response.statusCode(),
                        response.headers().firstValue("X-Outcome").orElse(""),
                        response.body());
    }

    static Answer get(String address, String path) {
        return send("GET", address, path, "").join();
    }

    /** Requests generated text, complete or as a stream; {@code query} is appended to the path. */
    static CompletableFuture<Answer> generate(
            String router,
            String customer,
            String prompt,
            int tokens,
            boolean stream,
            String query) {
        String body =
                JSON.createObjectNode().put("prompt", prompt).put("tokens", tokens).toString();
        return send(
                "POST",
                router,
                "/v1/generate" + query,
                body,
                "X-Customer",
                customer,
                "X-Model",
                "granite",
                "Accept",
                stream ? "text/event-stream" : "application/json");
    }

    /** Confirms a booking; {@code key} is the request key. */
    static CompletableFuture<Answer> confirm(
            String router, String key, String query, long deadlineMillis) {
        return send(
                "POST",
                router,
                "/v1/service/booking/confirm" + query,
                "{\"booking\":\"" + key + "\"}",
                "X-Customer",
                "altiplano",
                "X-Request-Key",
                key,
                "X-Deadline-Ms",
                Long.toString(deadlineMillis));
    }
}
