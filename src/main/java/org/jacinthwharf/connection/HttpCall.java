package org.jacinthwharf.connection;

import java.nio.charset.StandardCharsets;

/**
 * One request to an interface of the fleet itself, with its whole body.
 *
 * <p>Immutable but for the body, which nobody changes.
 *
 * @param method HTTP method
 * @param path path without the query
 * @param body body, empty if there is none
 */
public record HttpCall(String method, String path, byte[] body) {
    /** Returns the part of a request's URI before the query. */
    public static String pathOf(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /** Returns the body as text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
