package org.jacinthwharf.process.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.connection.ServerAddress;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.process.EndlessServer;
import org.jacinthwharf.process.loop.NettyEventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a backend server that sends bytes without end where a head, a chunk size or a
 * trailer is due, and so holds a connection and a call of the gateway.
 */
final class EndlessAnswerTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final NettyEventLoop mLoop = new NettyEventLoop("test", e -> {});
    private final CompletableFuture<String> mEnd = new CompletableFuture<>();

    @AfterEach
    void closeLoop() {
        mLoop.close();
    }

    private final class Listener implements ExchangeListener {
        @Override
        public boolean onHead(HttpResponse head, ConnectionUse use) {
            return !head.headers().contains("X-Crossed");
        }

        @Override
        public void onBody(ByteBuf data) {}

        @Override
        public void onReadComplete() {}

        @Override
        public void onEnd(ExchangeEnd end, String cause) {
            mEnd.complete(end + ": " + cause);
        }
    }

    private void assertDisconnected(String start, String repeated) throws Exception {
        try (EndlessServer server = new EndlessServer(start, repeated)) {
            ServerPool pool =
                    new ServerPool(mLoop.group(), mLoop, new FleetMetrics(), new ReplacementRate());
            mLoop.execute(
                    () ->
                            pool.send(
                                    ServerAddress.parse(server.address()).orElseThrow(),
                                    () ->
                                            Optional.of(
                                                    new DefaultFullHttpRequest(
                                                            HttpVersion.HTTP_1_1,
                                                            HttpMethod.GET,
                                                            "/")),
                                    RequestId.of("1"),
                                    new Listener()));
            assertWithMessage("disconnected").that(server.awaitDisconnect(5)).isTrue();
            assertThat(mEnd.get(1, TimeUnit.SECONDS)).startsWith("BROKEN");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX-Long: "})
    void headWithoutEnd(String start) throws Exception {
        assertDisconnected(start, "x");
    }

    @Test
    void blankLinesBeforeTheHead() throws Exception {
        assertDisconnected("\r\n", "\r\n");
    }

    @Test
    void informationalAnswersWithoutEnd() throws Exception {
        assertDisconnected("", "HTTP/1.1 100 Continue\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(strings = {"1", "1;extension="})
    void chunkSizeLineWithoutEnd(String start) throws Exception {
        assertDisconnected(HEAD + start, "1");
    }

    @Test
    void trailerWithoutEnd() throws Exception {
        assertDisconnected(HEAD + "0\r\nX-Long: ", "x");
    }

    @Test
    void bodyOfAnAnswerToAnotherRequestWithoutEnd() throws Exception {
        assertDisconnected(
                "HTTP/1.1 200 OK\r\nX-Crossed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                "2\r\nxx\r\n");
    }
}
