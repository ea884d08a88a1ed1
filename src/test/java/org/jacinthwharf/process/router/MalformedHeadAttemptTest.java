package org.jacinthwharf.process.router;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.request.outcome.AttemptEvent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an answer with a malformed head that a router takes for an answer. */
final class MalformedHeadAttemptTest {
    private static final String FRAMING = "Content-Length: 5\r\n\r\n";

    /** Returns how an attempt ends whose server writes some bytes and keeps the connection. */
    private static AttemptEvent endOf(String answer) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                AttemptFixture attempt = new AttemptFixture()) {
            CompletableFuture<Void> served =
                    CompletableFuture.runAsync(() -> answerOnce(server, answer));
            attempt.send("127.0.0.1:" + server.getLocalPort(), false);
            AttemptEvent event = attempt.event().get(5, TimeUnit.SECONDS);
            attempt.close();
            served.get(5, TimeUnit.SECONDS);
            return event;
        }
    }

    /** Serves one connection until its caller closes it. */
    private static void answerOnce(ServerSocket server, String answer) {
        try (Socket socket = server.accept()) {
            byte[] request = new byte[8 << 10];
            if (socket.getInputStream().read(request) > 0) {
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
            while (socket.getInputStream().read(request) >= 0) {}
        } catch (IOException reset) {
            // The router resets a connection whose answer it refuses.
        }
    }

    private static String answer(String statusLine, String field) {
        return statusLine + "\r\n" + AttemptFixture.ATTEMPT_HEADERS + field + FRAMING + "first";
    }

    private static void assertRefused(String answer) throws Exception {
        assertThat(endOf(answer)).isNotInstanceOf(AttemptEvent.AnswerComplete.class);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK",
                "HTTP/1.1 0 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 099 OK",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 600 OK",
                "HTTP/1.1 200 O\u0001K",
                "HTTP/2.0 200 OK",
                "HTTP/1.2 200 OK",
                "HTTP/0.9 200 OK",
                "ICY/1.1 200 OK",
                "\u0001HTTP/1.1 200 OK"
            })
    void malformedStatusLinesAreRefused(String line) throws Exception {
        assertRefused(answer(line, ""));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X A: b\r\n",
                "X\tA: b\r\n",
                "X-A : b\r\n",
                " X-A: b\r\n",
                "X\u0001A: b\r\n",
                "X\u007fA: b\r\n",
                ": b\r\n",
                "X-A\r\n",
                "Transfer-Encoding x: chunked\r\n"
            })
    void malformedFieldLinesAreRefused(String field) throws Exception {
        assertRefused(answer("HTTP/1.1 200 OK", field));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"gzip, chunked", "chunked, gzip", "chunked, chunked", "chunkedx", "x", ""})
    void otherTransferCodingsAreRefused(String codings) throws Exception {
        String field = "Transfer-Encoding: " + codings + "\r\n";
        String coded = answer("HTTP/1.1 200 OK", field);
        assertRefused(coded);
        assertRefused(
                coded.replace("Content-Length: 5\r\n", "")
                        .replace("first", "5\r\nfirst\r\n0\r\n\r\n"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.0 200 OK"})
    void soundHeadsAreAccepted(String line) throws Exception {
        AttemptEvent end = endOf(answer(line, "X-A: b\r\n"));
        assertWithMessage("%s", end).that(end).isInstanceOf(AttemptEvent.AnswerComplete.class);
    }
}
