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
 * Sends operator calls to a control group.
 *
 * <p>Not thread-safe. Invariant: all attempts of a call carry the same command id, so the call
 * takes effect at most once even if several members receive it.
 */
final class ControlClient implements AutoCloseable {
    private static final long REQUEST_TIMEOUT_SECONDS = 12;
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
        // Disables the built-in handling of responses such as 401; refusals are shown as they are.
        mHttp.getProtocolHandlers().clear();
    }

    /** A request; a header whose value is empty is not sent. */
    record Call(
            String method,
            String path,
            String token,
            String commandId,
            String baseRevision,
            String body) {
        static Call get(String path) {
            return new Call("GET", path, "", "", "", "");
        }
    }

    /** The response, or status 0 with the failure of each member as the body. */
    record Result(int status, String body) {
        boolean ok() {
            return status == 200;
        }
    }

    /**
     * Sends the call to each member in turn until one responds with a status other than 503.
     *
     * @return the response; status 0 with the failures as the body if there was none
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
                ContentResponse response = newRequest(target, call).send();
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
            return new Result(0, "no answer within " + REQUEST_TIMEOUT_SECONDS + " s");
        }
    }

    private Request newRequest(URI target, Call call) {
        Request request =
                mHttp.newRequest(target)
                        .method(call.method())
                        .timeout(REQUEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .headers(
                                h -> {
                                    putIfPresent(h::put, "X-Command-Id", call.commandId());
                                    putIfPresent(h::put, "If-Match", call.baseRevision());
                                });
        if (!call.token().isEmpty()) {
            request.headers(h -> h.put(HttpHeader.AUTHORIZATION, "Bearer " + call.token()));
        }
        return call.body().isEmpty()
                ? request
                : request.body(new StringRequestContent("application/json", call.body()));
    }

    private static void putIfPresent(HeaderSink sink, String name, String value) {
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
