package org.jacinthwharf.process.gateway;

import com.google.common.collect.ImmutableList;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.jacinthwharf.request.dispatch.PromptSegment;

/**
 * The header names that callers, gateways and backend servers use among each other.
 *
 * <p>Stateless and thread-safe. A dialect only translates; all decisions are made on the types
 * below. Headers that a dialect does not name pass unchanged.
 */
public interface EdgeDialect {
    /** Reads what a caller's request says; malformed values are read as absent. */
    CallerHead readCaller(HttpHeaders headers);

    /** Turns the headers of a caller's request into those for a backend server. */
    void writeToServer(HttpHeaders headers, ServerHead head);

    /** Reads what the answer of a backend server says. */
    AnswerHead readAnswer(HttpHeaders headers);

    /** Adds to a refusal what the caller needs to know; {@code retryMillis} of 0 says nothing. */
    void writeRefusal(HttpHeaders headers, String requestId, String reason, long retryMillis);

    /**
     * What a caller's request says.
     *
     * <p>Immutable.
     *
     * @param requestId id that the caller gave the request, empty if none
     * @param patienceMillis how long the caller waits
     * @param accessKey key that names the customer
     * @param prompt segments of the prompt, in order
     * @param promptTokens length of the prompt
     * @param outputTokens largest length of the answer
     * @param lastEventId event after which a stream goes on
     */
    record CallerHead(
            String requestId,
            OptionalLong patienceMillis,
            Optional<String> accessKey,
            ImmutableList<PromptSegment> prompt,
            int promptTokens,
            int outputTokens,
            Optional<String> lastEventId) {}

    /**
     * What a backend server is told beside the request.
     *
     * <p>Immutable.
     *
     * @param timeLeftMillis when the server may stop
     * @param server the only server that may run the request
     * @param customer who pays, unless the route is anonymous
     * @param lastEventId event after which a stream goes on
     */
    record ServerHead(
            long timeLeftMillis,
            String server,
            Optional<String> customer,
            Optional<String> lastEventId) {}

    /**
     * What the head of an answer says.
     *
     * <p>Immutable.
     *
     * @param requestId id of the request that is answered
     * @param notRun whether the server states that it has not run the request
     * @param sealed whether the answer bears the server's own mark
     * @param coldMillis how long the server stays cold
     */
    record AnswerHead(
            Optional<String> requestId, boolean notRun, boolean sealed, OptionalLong coldMillis) {}
}
