package org.jacinthwharf.connection;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a malformed head that is decoded, wherever in a connection it comes, and against
 * bodies that are taken for heads.
 */
final class StrictHttpClientCodecTest {
    private static final String SOUND = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    private static final String MALFORMED = "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nhi";

    private final EmbeddedChannel mChannel =
            new EmbeddedChannel(
                    new StrictHttpClientCodec(new HttpDecoderConfig().setMaxHeaderSize(1_000)));

    @AfterEach
    void close() {
        mChannel.finishAndReleaseAll();
    }

    private void send(HttpMethod method) {
        mChannel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"));
    }

    private void receive(String bytes) {
        mChannel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }

    /** Returns what was decoded: the status of each head, or that it is malformed, and bodies. */
    private List<String> decoded() {
        List<String> decoded = new ArrayList<>();
        for (Object o = mChannel.readInbound(); o != null; o = mChannel.readInbound()) {
            if (o instanceof HttpResponse head) {
                boolean sound = head.decoderResult().isSuccess();
                decoded.add(sound ? Integer.toString(head.status().code()) : "malformed");
            }
            if (o instanceof HttpContent c && c.content().isReadable()) {
                decoded.add(c.content().toString(StandardCharsets.ISO_8859_1));
            }
            ReferenceCountUtil.release(o);
        }
        return decoded;
    }

    @Test
    void answersAreDecodedAfterOneAnother() {
        receive(SOUND + SOUND);
        assertThat(decoded()).containsExactly("200", "hi", "200", "hi").inOrder();
    }

    @Test
    void malformedHeadsFailWhateverPrecedesThem() {
        String chunked =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
        for (String before : List.of("", SOUND, chunked, "HTTP/1.1 103 X\r\n\r\n")) {
            receive(before);
            decoded();
            receive(MALFORMED);
            assertThat(decoded().get(0)).isEqualTo("malformed");
        }
    }

    @Test
    void headsThatArriveByteByByteAreCheckedWhole() {
        SOUND.chars().forEach(c -> receive(Character.toString(c)));
        MALFORMED.chars().forEach(c -> receive(Character.toString(c)));
        assertThat(decoded()).containsExactly("200", "h", "i", "malformed", "h", "i").inOrder();
    }

    @Test
    void bodiesThatLookLikeHeadsAreNotChecked() {
        String body = "HTTP/1.1 000 OK\r\n\r\n";
        receive("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        assertThat(decoded()).containsExactly("200", body).inOrder();
    }

    @Test
    void answersToRequestsForHeadsHaveNoBody() {
        send(HttpMethod.HEAD);
        receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
        send(HttpMethod.GET);
        receive(SOUND);
        assertThat(decoded()).containsExactly("200", "200", "hi").inOrder();
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 204})
    void successfulAnswersToConnectHaveNoBody(int status) {
        send(HttpMethod.CONNECT);
        receive("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\n");
        send(HttpMethod.GET);
        receive(SOUND);
        assertThat(decoded()).containsExactly(Integer.toString(status), "200", "hi").inOrder();
    }

    // Guards against a server that fills the memory with what precedes a head.
    @Test
    void emptyLinesWithoutEndFail() {
        String lines = "\r\n".repeat(500);
        assertThrows(
                DecoderException.class,
                () -> {
                    for (int i = 0; i < 100; i++) {
                        receive(lines);
                    }
                });
    }
}
