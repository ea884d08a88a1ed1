package org.jacinthwharf.connection;

import java.nio.charset.StandardCharsets;

/**
 * An HTTP request, with the complete body, to an API that a fleet process serves, as opposed to a
 * request that it forwards to a backend server.
 *
 * <p>Immutable, provided that the body array is not modified.
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
    public String bodyAsUtf8() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
