package org.jacinthwharf.process.router;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.request.outcome.AttemptEvent;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

/**
 * Guards against an answer without length or chunks that is lost although it is whole, and against
 * a crash of its server that is taken for the end of a stream.
 */
final class AnswerEndsWithConnectionTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n" + AttemptFixture.ATTEMPT_HEADERS;
    private static final String EVENT = "id: 1\ndata: a\n\n";

    /** What a server does after it has sent its answer. */
    private enum Finish {
        CLOSE,
        /** A close before the whole request is read, which is followed by a reset. */
        CLOSE_UNREAD,
        RESET,
        CRASH
    }

    /** Serves one connection. A crash closes all sockets of the server in order. */
    private static void answerOnce(ServerSocket server, String answer, Finish finish) {
        try (Socket socket = server.accept()) {
            int length = finish == Finish.CLOSE_UNREAD ? 1 : 8 << 10;
            if (socket.getInputStream().read(new byte[length]) > 0) {
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                if (finish == Finish.RESET) {
                    socket.setSoLinger(true, 0);
                } else if (finish == Finish.CRASH) {
                    server.close();
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns how an attempt ends, and the body that was received. */
    private static End endOf(boolean stream, String answer, Finish finish) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                AttemptFixture attempt = new AttemptFixture()) {
            CompletableFuture<Void> served =
                    CompletableFuture.runAsync(() -> answerOnce(server, answer, finish));
            AttemptReceiver receiver = attempt.send("127.0.0.1:" + server.getLocalPort(), stream);
            AttemptEvent event = attempt.event().get(5, TimeUnit.SECONDS);
            served.get(1, TimeUnit.SECONDS);
            return new End(event, receiver.body().toStringUtf8());
        }
    }

    private record End(AttemptEvent event, String body) {}

    @Test
    void plainAnswerThatEndsWithItsConnectionIsWhole() throws Exception {
        End end = endOf(false, HEAD + "\r\nthe answer", Finish.CLOSE);
        assertThat(end.event()).isInstanceOf(AttemptEvent.AnswerComplete.class);
        assertThat(end.body()).isEqualTo("the answer");
    }

    @Test
    void plainAnswerThatIsResetIsNotWhole() throws Exception {
        assertThat(endOf(false, HEAD + "\r\nthe answer", Finish.RESET).event())
                .isInstanceOf(AttemptEvent.ConnectionClosed.class);
    }

    @RepeatedTest(20)
    void plainAnswerToRequestThatIsNotReadIsNotWhole() throws Exception {
        assertThat(endOf(false, HEAD + "\r\nthe answer", Finish.CLOSE_UNREAD).event())
                .isInstanceOf(AttemptEvent.ConnectionClosed.class);
    }

    @Test
    void plainAnswerOfServerThatCrashesIsNotWhole() throws Exception {
        assertThat(endOf(false, HEAD + "\r\nthe ans", Finish.CRASH).event())
                .isInstanceOf(AttemptEvent.ConnectionClosed.class);
    }

    @Test
    void streamIsWholeOnlyWithItsEndEvent() throws Exception {
        String head = HEAD + "Content-Type: text/event-stream\r\n\r\n";
        String end = "event: end\ndata: {\"events\":1}\n\n";
        assertThat(endOf(true, head + EVENT + end, Finish.CLOSE).event())
                .isInstanceOf(AttemptEvent.AnswerComplete.class);
        for (String cut : new String[] {"", EVENT, EVENT + "event: end\nda", EVENT + "id: 2\nda"}) {
            assertThat(endOf(true, head + cut, Finish.CLOSE).event())
                    .isInstanceOf(AttemptEvent.StreamTruncated.class);
        }
    }

    // Guards against a server that stops within the head of its answer: a success without a body.
    @Test
    void answerThatStopsWithinItsHeadIsNotWhole() throws Exception {
        for (String framing : new String[] {"Content-Length: 0\r\n", "", "Content-Length: 5\r\n"}) {
            String head = HEAD + framing + "\r\n";
            for (int cut = 1; cut < head.length(); cut++) {
                String sent = head.substring(0, head.length() - cut);
                for (Finish finish : new Finish[] {Finish.CLOSE, Finish.RESET}) {
                    assertThat(endOf(false, sent, finish).event())
                            .isInstanceOf(AttemptEvent.ConnectionClosed.class);
                }
            }
        }
    }
}
