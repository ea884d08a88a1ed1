package org.jacinthwharf.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jacinthwharf.wire.generated.ServerState;

/**
 * Serves requests as a model engine and as a plain service do.
 *
 * <p>Thread-safe. The query parameter {@code fault} of a request injects a fault: {@code error},
 * {@code crossed} (responds with the identity of another request), {@code cut:N} (closes the
 * connection after N events), {@code hang} (runs, then never responds) or {@code not-run}. It is a
 * query parameter because routers do not forward unknown headers.
 */
final class StandInHandler extends Handler.Abstract {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final int DEFAULT_TOKENS = 16;

    private final StandInOptions mOptions;
    private final StandInState mState;
    private final ScheduledExecutorService mTimer;

    StandInHandler(StandInOptions options, StandInState state, ScheduledExecutorService timer) {
        mOptions = options;
        mState = state;
        mTimer = timer;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        request.addIdleTimeoutListener(t -> false);
        String path = request.getHttpURI().getPath();
        switch (path) {
            case "/health" -> handleHealth(request, response, callback);
            case "/stats" -> handleStats(response, callback);
            case "/state" -> handleSetState(request, response, callback);
            default ->
                    Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES)
                            .whenComplete(
                                    (body, failure) -> {
                                        if (failure != null) {
                                            callback.failed(failure);
                                        } else {
                                            run(request, response, callback, body);
                                        }
                                    });
        }
        return true;
    }

    private void handleHealth(Request request, Response response, Callback callback) {
        String id = Request.extractQueryParameters(request).getValue("request");
        boolean running = id != null && mState.isRunning(id);
        response.getHeaders().put("X-Running", Boolean.toString(running));
        sendJson(response, callback, 200, "{}");
    }

    private void handleStats(Response response, Callback callback) {
        ObjectNode stats = JSON.createObjectNode();
        stats.put("id", mOptions.id())
                .put("state", Ascii.toLowerCase(mState.state().name()))
                .put("requests", mState.requests())
                .put("running", mState.running())
                .put("mostRunning", mState.peakRunning())
                .put("mostRunningCold", mState.peakRunningCold())
                .put("coldLimit", mOptions.coldLimit());
        ObjectNode executions = stats.putObject("executions");
        mState.executions().forEach(executions::put);
        sendJson(response, callback, 200, stats.toString());
    }

    private void handleSetState(Request request, Response response, Callback callback) {
        String name = Request.extractQueryParameters(request).getValue("set");
        mState.overrideState(ServerState.valueOf(Ascii.toUpperCase(name)));
        sendJson(response, callback, 200, "{}");
    }

    private void run(Request request, Response response, Callback callback, byte[] body) {
        HttpFields headers = request.getHeaders();
        String attemptId = headers.get("X-Request-Id") + "/" + headers.get("X-Attempt");
        String fault = Request.extractQueryParameters(request).getValue("fault");
        fault = fault == null ? "" : fault;
        if (fault.equals("not-run")) {
            response.getHeaders().put("X-Not-Run", "true");
            echoRequestIdentity(headers, response);
            sendJson(response, callback, 503, "{}");
            return;
        }
        mState.recordStart(attemptId);
        Request.addCompletionListener(request, failure -> mState.recordEnd(attemptId));
        echoRequestIdentity(headers, response);
        if (fault.equals("crossed")) {
            response.getHeaders().put("X-Request-Id", "another-request");
        }
        long bucket = attemptId.hashCode() & 0xffff;
        if (fault.equals("error") || bucket % 100 < mOptions.errorPercent()) {
            sendJson(response, callback, 500, "{\"error\":\"injected\"}");
        } else if (request.getHttpURI().getPath().startsWith("/v1/service/")) {
            runService(headers, response, callback, fault);
        } else {
            runGenerate(headers, response, callback, body, fault);
        }
    }

    private static void echoRequestIdentity(HttpFields headers, Response response) {
        for (String name : new String[] {"X-Request-Id", "X-Attempt"}) {
            if (headers.get(name) != null) {
                response.getHeaders().put(name, headers.get(name));
            }
        }
    }

    private void runService(
            HttpFields headers, Response response, Callback callback, String fault) {
        String key = headers.get("X-Request-Key");
        if (key != null) {
            mState.recordExecution(key);
        }
        if (fault.equals("hang")) {
            return;
        }
        ObjectNode answer = JSON.createObjectNode();
        answer.put("server", mOptions.id()).put("key", key).put("confirmed", true);
        mTimer.schedule(
                () -> sendJson(response, callback, 200, answer.toString()),
                mOptions.tokenMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void runGenerate(
            HttpFields headers, Response response, Callback callback, byte[] body, String fault) {
        JsonNode prompt;
        try {
            prompt = JSON.readTree(body);
        } catch (java.io.IOException e) {
            sendJson(response, callback, 400, "{\"error\":\"not JSON\"}");
            return;
        }
        String text = prompt.path("prompt").asText("");
        int tokens = prompt.path("tokens").asInt(DEFAULT_TOKENS);
        if (fault.equals("hang")) {
            return;
        }
        response.getHeaders().put("X-Cost", Integer.toString(tokens));
        if ("text/event-stream".equals(headers.get(HttpHeader.ACCEPT))) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
            Integer cut = fault.startsWith("cut:") ? Ints.tryParse(fault.substring(4)) : null;
            Long from = Longs.tryParse(headers.get("X-Resume-From") + "");
            int first = from == null ? 0 : (int) (from - 1);
            // A resumed stream is not cut again, because it would never complete otherwise.
            int last = cut == null || first > 0 ? Integer.MAX_VALUE : cut;
            new StandInStream(response, callback, mTimer, mOptions.tokenMillis(), text, tokens)
                    .writeFrom(first, last);
        } else {
            ObjectNode answer = JSON.createObjectNode();
            answer.put("text", StandInText.answer(text, tokens)).put("tokens", tokens);
            mTimer.schedule(
                    () -> sendJson(response, callback, 200, answer.toString()),
                    tokens * mOptions.tokenMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    private static void sendJson(Response response, Callback callback, int status, String body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
        response.write(true, ByteBuffer.wrap(bytes), callback);
    }
}
