package org.jacinthwharf.process.gateway;

import com.google.common.base.Splitter;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Removes hop-by-hop headers (RFC 9110, section 7.6.1). Stateless. */
final class HopByHopHeaders {
    private static final List<CharSequence> NAMES =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    "Keep-Alive",
                    HttpHeaderNames.PROXY_AUTHENTICATE,
                    HttpHeaderNames.PROXY_AUTHORIZATION,
                    "Proxy-Connection",
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.EXPECT);

    private HopByHopHeaders() {}

    static void remove(HttpHeaders headers) {
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : Splitter.on(',').trimResults().omitEmptyStrings().split(value)) {
                headers.remove(name);
            }
        }
        NAMES.forEach(headers::remove);
    }
}
