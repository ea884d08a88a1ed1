package org.jacinthwharf.process.router;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.concurrent.TimeUnit;
import org.jacinthwharf.process.EndlessServer;
import org.jacinthwharf.request.outcome.AttemptEvent;
import org.junit.jupiter.api.Test;

/**
 * Guards against a backend server that sends bytes without end in a head, a body, a chunk size or
 * an event, and so holds a connection and a call of the router.
 */
final class EndlessAttemptTest {
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\n"
                    + AttemptFixture.ATTEMPT_HEADERS
                    + "Transfer-Encoding: chunked\r\n";

    private void assertDisconnected(boolean stream, String start, String repeated)
            throws Exception {
        try (EndlessServer server = new EndlessServer(start, repeated);
                AttemptFixture attempt = new AttemptFixture()) {
            attempt.send(server.address(), stream);
            assertWithMessage("disconnected").that(server.awaitDisconnect(10)).isTrue();
            assertThat(attempt.event().get(1, TimeUnit.SECONDS))
                    .isInstanceOf(
                            stream
                                    ? AttemptEvent.StreamTruncated.class
                                    : AttemptEvent.ConnectionClosed.class);
        }
    }

    @Test
    void headWithoutEnd() throws Exception {
        assertDisconnected(false, "HTTP/1.1 200 OK\r\nX-Long: ", "x");
    }

    @Test
    void informationalAnswersWithoutEnd() throws Exception {
        assertDisconnected(false, "", "HTTP/1.1 103 Early Hints\r\n\r\n");
    }

    @Test
    void chunkSizeLineWithoutEnd() throws Exception {
        assertDisconnected(false, HEAD + "\r\n1;extension=", "x");
    }

    @Test
    void bodyWithoutEnd() throws Exception {
        assertDisconnected(false, HEAD + "\r\n", "2000\r\n" + "x".repeat(0x2000) + "\r\n");
    }

    @Test
    void eventWithoutEnd() throws Exception {
        assertDisconnected(
                true,
                HEAD + "Content-Type: text/event-stream\r\n\r\n",
                "2000\r\n" + "x".repeat(0x2000) + "\r\n");
    }
}
