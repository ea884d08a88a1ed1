package org.jacinthwharf.cli;

import com.google.common.collect.ImmutableList;
import java.net.URI;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.jacinthwharf.process.settings.Endpoint;

/**
 * Sends one call to a control group.
 *
 * <p>Not thread-safe. Invariant: every try of a call carries the same command id, so the call takes
 * effect at most once however many members got it.
 */
final class ControlClient implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 12;
    private static final long CONNECT_TIMEOUT_MS = 2_000;
    // Each member may redirect once while a new leader is elected.
    private static final int MAX_REDIRECTS = 3;

    private final HttpClient mHttp = new HttpClient();
    private final ImmutableList<Endpoint> mMembers;

    ControlClient(List<Endpoint> members) throws Exception {
        mMembers = ImmutableList.copyOf(members);
        mHttp.setFollowRedirects(false);
        mHttp.setConnectTimeout(CONNECT_TIMEOUT_MS);
        mHttp.start();
        // The refusals of the control group are results to show, not challenges to answer.
        mHttp.getProtocolHandlers().clear();
    }

    /** A request; headers that are empty are not sent. */
    record Call(
            String method,
            String path,
            String token,
            String commandId,
            String basedOn,
            String body) {
        static Call get(String path) {
            return new Call("GET", path, "", "", "", "");
        }
    }

    /** The last answer, or what went wrong at each member. */
    record Result(int status, String body) {
        boolean ok() {
            return status == 200;
        }
    }

    /**
     * Sends the call to one member after another until one gives an answer other than 503.
     *
     * @return the answer; status 0 with the failures as body if no member answered
     */
    Result send(Call call) throws InterruptedException {
        StringBuilder failures = new StringBuilder();
        for (Endpoint member : mMembers) {
            Result result = sendTo("http://" + member + call.path(), call);
            if (result.status() != 0 && result.status() != 503) {
                return result;
            }
            failures.append(member).append(": ").append(result.body().strip()).append('\n');
        }
        return new Result(0, failures.toString());
    }

    private Result sendTo(String address, Call call) throws InterruptedException {
        URI target = URI.create(address);
        try {
            for (int i = 0; i <= MAX_REDIRECTS; i++) {
                ContentResponse response = request(target, call).send();
                String location = response.getHeaders().get(HttpHeader.LOCATION);
                if (response.getStatus() != 307 || location == null) {
                    return new Result(response.getStatus(), response.getContentAsString());
                }
                target = target.resolve(location);
            }
            return new Result(0, "too many redirects");
        } catch (ExecutionException e) {
            return new Result(0, "no answer: " + e.getCause());
        } catch (TimeoutException e) {
            return new Result(0, "no answer within " + TIMEOUT_SECONDS + " s");
        }
    }

    private Request request(URI target, Call call) {
        Request request =
                mHttp.newRequest(target)
                        .method(call.method())
                        .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .headers(
                                h -> {
                                    put(h::put, "X-Command-Id", call.commandId());
                                    put(h::put, "If-Match", call.basedOn());
                                });
        if (!call.token().isEmpty()) {
            request.headers(h -> h.put(HttpHeader.AUTHORIZATION, "Bearer " + call.token()));
        }
        return call.body().isEmpty()
                ? request
                : request.body(new StringRequestContent("application/json", call.body()));
    }

    private static void put(HeaderSink sink, String name, String value) {
        if (!value.isEmpty()) {
            sink.put(name, value);
        }
    }

    private interface HeaderSink {
        Object put(String name, String value);
    }

    @Override
    public void close() throws Exception {
        mHttp.stop();
    }
}
