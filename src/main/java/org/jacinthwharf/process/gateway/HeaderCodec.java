package org.jacinthwharf.process.gateway;

import com.google.common.collect.ImmutableList;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.jacinthwharf.request.dispatch.PromptSegment;

/**
 * Translates the headers of callers and backend servers to and from the types of the gateway.
 *
 * <p>Stateless and thread-safe. A codec makes no decisions. Headers that it does not translate pass
 * unchanged.
 */
public interface HeaderCodec {
    /** Parses the headers of a caller's request; malformed values count as absent. */
    CallerHeaders parseCallerHeaders(HttpHeaders headers);

    /** Converts the headers of a caller's request to those for a backend server, in place. */
    void writeToServer(HttpHeaders headers, ServerHeaders serverHeaders);

    /** Parses the headers of a backend server's answer. */
    AnswerHeaders parseAnswerHeaders(HttpHeaders headers);

    /** Adds the headers of a refusal; a {@code retryMillis} of 0 gives the caller no retry time. */
    void writeRefusal(HttpHeaders headers, String requestId, String reason, long retryMillis);

    /**
     * The headers of a caller's request.
     *
     * <p>Immutable.
     *
     * @param requestId id that the caller gave the request, empty if none
     * @param requestTimeoutMillis timeout that the caller set
     * @param accessKey access key that identifies the customer
     * @param prompt segments of the prompt, in order
     * @param promptTokens length of the prompt, in tokens
     * @param outputTokens maximum length of the answer, in tokens
     * @param lastEventId id of the event after which the stream resumes
     */
    record CallerHeaders(
            String requestId,
            OptionalLong requestTimeoutMillis,
            Optional<String> accessKey,
            ImmutableList<PromptSegment> prompt,
            int promptTokens,
            int outputTokens,
            Optional<String> lastEventId) {}

    /**
     * The headers added to a request to a backend server.
     *
     * <p>Immutable.
     *
     * @param remainingMillis time until the deadline, when the server may stop
     * @param server id of the only server that may run the request
     * @param customer customer that the request is charged to, empty if the route is anonymous
     * @param lastEventId id of the event after which the stream resumes
     * @param cacheSource address of an engine that the server may copy cached tokens from
     */
    record ServerHeaders(
            long remainingMillis,
            String server,
            Optional<String> customer,
            Optional<String> lastEventId,
            Optional<String> cacheSource) {}

    /**
     * The headers of a backend server's answer.
     *
     * <p>Immutable.
     *
     * @param requestId id of the request that is answered
     * @param notRun whether the server states that it has not run the request
     * @param sealed whether the answer carries the seal that the server adds to its own answers
     * @param coldMillis remaining time of the server's cold start
     * @param rateLimit requests a second that the server takes from all gateways together
     * @param leaving whether the server states that it is about to stop
     * @param retryAfterMillis time until the server that rejects a request takes others from this
     *     gateway
     */
    record AnswerHeaders(
            Optional<String> requestId,
            boolean notRun,
            boolean sealed,
            OptionalLong coldMillis,
            OptionalDouble rateLimit,
            boolean leaving,
            OptionalLong retryAfterMillis) {}
}
