package org.jacinthwharf.connection;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The response of an HTTP API that a process of the fleet serves itself.
 *
 * <p>Immutable, provided that the body array is not modified.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the body; may be empty
 * @param location target of a redirect, with status 307
 */
public record HttpAnswer(int status, String contentType, byte[] body, Optional<String> location) {
    /** Returns an answer with a JSON body. */
    public static HttpAnswer json(int status, String body) {
        return new HttpAnswer(status, "application/json", utf8(body), Optional.empty());
    }

    /** Returns an answer with a text body. */
    public static HttpAnswer text(int status, String body) {
        return new HttpAnswer(status, "text/plain; charset=utf-8", utf8(body), Optional.empty());
    }

    /** Returns a redirect to another process. */
    public static HttpAnswer redirect(String location) {
        return new HttpAnswer(307, "application/json", utf8("{}"), Optional.of(location));
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
