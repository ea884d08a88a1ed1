package org.jacinthwharf.process.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;

/** Builds the requests to backend servers from those of callers. Stateless. */
final class ServerRequests {
    private ServerRequests() {}

    /** Returns a request that shares the body of a caller's request; the receiver releases it. */
    static FullHttpRequest create(
            FullHttpRequest request, HeaderCodec codec, HeaderCodec.ServerHeaders serverHeaders) {
        HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
        HopByHopHeaders.remove(headers);
        codec.writeToServer(headers, serverHeaders);
        ByteBuf body = request.content();
        if (body.isReadable() || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                body.retainedDuplicate(),
                headers,
                new DefaultHttpHeaders());
    }
}
