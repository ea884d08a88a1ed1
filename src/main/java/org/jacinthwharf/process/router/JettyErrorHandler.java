package org.jacinthwharf.process.router;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.metrics.RefusalReason;

/**
 * Answers requests that Jetty itself rejects, for example for malformed or oversized headers, in
 * the JSON format of all refusals.
 *
 * <p>Thread-safe. The outcome is always "not run", since these requests never reach a backend
 * server.
 */
final class JettyErrorHandler extends ErrorHandler {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final FleetMetrics mMetrics;

    JettyErrorHandler(FleetMetrics metrics) {
        mMetrics = metrics;
    }

    @Override
    protected void generateResponse(
            Request request,
            Response response,
            int code,
            String message,
            Throwable cause,
            Callback callback) {
        byte[] body = refusalBody(code, message);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(RequestHeaders.OUTCOME, "not_run");
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    @Override
    public ByteBuffer badMessageError(int status, String reason, HttpFields.Mutable fields) {
        fields.put(HttpHeader.CONTENT_TYPE, "application/json");
        fields.put(RequestHeaders.OUTCOME, "not_run");
        return ByteBuffer.wrap(refusalBody(status, reason));
    }

    private byte[] refusalBody(int status, String detail) {
        RefusalReason reason =
                switch (status) {
                    case 431, 414 -> RefusalReason.HEADER_TOO_LARGE;
                    case 413 -> RefusalReason.BODY_TOO_LARGE;
                    case 408 -> RefusalReason.BODY_TOO_SLOW;
                    default -> RefusalReason.MALFORMED_REQUEST;
                };
        mMetrics.countRefusal(reason);
        ObjectNode body = JSON.createObjectNode();
        body.put("reason", reason.code()).put("outcome", "not_run").put("detail", "" + detail);
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }
}
