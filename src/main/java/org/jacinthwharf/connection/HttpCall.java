package org.jacinthwharf.connection;

import java.nio.charset.StandardCharsets;

/**
 * A request to an HTTP API that a process of the fleet serves itself, with its complete body.
 *
 * <p>Immutable, provided that nobody modifies the body array.
 *
 * @param method HTTP method
 * @param path path without the query
 * @param body the body; empty if there is none
 */
public record HttpCall(String method, String path, byte[] body) {
    /** Returns a request URI without its query. */
    public static String stripQuery(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /** Returns the body, decoded as UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
