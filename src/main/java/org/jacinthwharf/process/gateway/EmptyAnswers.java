package org.jacinthwharf.process.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.jacinthwharf.process.metrics.RefusalReason;

/** Creates answers without a body. Stateless and thread-safe. */
final class EmptyAnswers {
    private EmptyAnswers() {}

    /**
     * Returns the answer to a request that ends with an error.
     *
     * @param notRun whether no server can have run the request, which the status then states
     */
    static FullHttpResponse ofError(RefusalReason reason, boolean notRun) {
        if (notRun) {
            return of(HttpResponseStatus.SERVICE_UNAVAILABLE.code());
        }
        return of(
                reason == RefusalReason.DEADLINE_PASSED
                        ? HttpResponseStatus.GATEWAY_TIMEOUT.code()
                        : HttpResponseStatus.BAD_GATEWAY.code());
    }

    static FullHttpResponse of(int status) {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.EMPTY_BUFFER);
    }
}
