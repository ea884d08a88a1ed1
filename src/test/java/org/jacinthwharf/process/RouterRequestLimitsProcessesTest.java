package org.jacinthwharf.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.jacinthwharf.process.settings.Endpoint;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards a router against callers whose requests are malformed, too large or too slow. */
final class RouterRequestLimitsProcessesTest {
    private static final String REQUEST_HEAD =
            "POST /v1/generate HTTP/1.1\r\nHost: r1\r\nX-Customer: counter\r\nX-Model: granite\r\n";
    private static final int SOCKET_TIMEOUT_MS = 20_000;
    private static final int CHUNK_BYTES = 64 << 10;

    @TempDir private static Path sFolder;
    private static ProcessFleet sFleet;

    @BeforeAll
    static void startFleet() throws Exception {
        sFleet = new ProcessFleet(sFolder, List.of("fsd-a"), List.of("fsd-a"));
        sFleet.addServer("engine", "fsd-a", "granite", 2, 8, 0, 20);
    }

    @AfterAll
    static void endFleet() throws Exception {
        sFleet.close();
    }

    @AfterEach
    void otherRequestsStillSucceed() {
        ApiClient.Answer answer =
                ApiClient.generate(sFleet.http("r1"), "counter", "other", 3, false, "").join();
        assertWithMessage("%s", answer).that(answer.status()).isEqualTo(200);
    }

    /** Guards against a malformed request line that gets no readable refusal. */
    @Test
    void malformedRequestLineIsRefusedWithItsReason() throws Exception {
        assertRefused("malformed_request", 400, out -> write(out, "GET\r\n\r\n"));
    }

    /** Guards against headers that use unbounded memory. */
    @Test
    void headerThatIsTooLongIsRefusedWithItsReason() throws Exception {
        String header = "X-Long: " + "x".repeat(32 << 10) + "\r\n\r\n";
        assertRefused("header_too_large", 431, out -> write(out, REQUEST_HEAD + header));
    }

    /** Guards against a slow body that occupies its connection indefinitely. */
    @Test
    void bodyThatIsTooSlowIsRefusedWithItsReason() throws Exception {
        assertRefused(
                "body_too_slow",
                408,
                out -> write(out, REQUEST_HEAD + "Content-Length: 100\r\n\r\n{"));
    }

    /** Guards against a body without Content-Length that uses unbounded memory. */
    @Test
    void chunkedBodyThatIsTooLargeIsRefusedWithItsReason() throws Exception {
        assertRefused(
                "body_too_large",
                413,
                out -> {
                    write(out, REQUEST_HEAD + "Transfer-Encoding: chunked\r\n\r\n");
                    String chunk =
                            Integer.toHexString(CHUNK_BYTES)
                                    + "\r\n"
                                    + "x".repeat(CHUNK_BYTES)
                                    + "\r\n";
                    for (int i = 0; i < 20; i++) {
                        write(out, chunk);
                    }
                });
    }

    /** Guards against a slot that stays occupied after the caller has disconnected. */
    @Test
    void requestOfCallerThatDisconnectsIsCancelledAtTheServer() throws Exception {
        double gone = sFleet.counterSum("r1", "caller_gone");
        String body = "{\"prompt\":\"gone\",\"tokens\":1500}";
        try (Socket caller = connect()) {
            String length = "Content-Length: " + body.length() + "\r\n";
            String accept = "Accept: text/event-stream\r\n\r\n";
            write(caller.getOutputStream(), REQUEST_HEAD + length + accept + body);
            ProcessFleet.await("the request runs", () -> running() == 1);
        }
        // Without cancellation the stream would take 30 s.
        ProcessFleet.awaitWithin(
                java.time.Duration.ofSeconds(15), "the server runs nothing", () -> running() == 0);
        ProcessFleet.await(
                "the event is counted", () -> sFleet.counterSum("r1", "caller_gone") > gone);
    }

    private interface RequestWriter {
        void writeTo(OutputStream out) throws IOException;
    }

    private static void assertRefused(String reason, int status, RequestWriter writer)
            throws IOException {
        long before = sFleet.counterSum("r1", reason);
        try (Socket caller = connect()) {
            try {
                writer.writeTo(caller.getOutputStream());
            } catch (SocketException e) {
                // The router may refuse the request and close the connection before the whole
                // request is sent; the answer can still be read from this socket.
                assertThat(caller.isClosed()).isFalse();
            }
            String answer = readAll(caller.getInputStream());
            assertThat(answer).startsWith("HTTP/1.1 " + status);
            assertThat(answer).contains("\"reason\":\"" + reason + "\"");
            assertThat(answer).contains("X-Outcome: not_run");
        }
        assertThat(sFleet.counterSum("r1", reason)).isEqualTo(before + 1);
    }

    private static Socket connect() throws IOException {
        Endpoint router = Endpoint.parse(sFleet.http("r1"));
        Socket socket = new Socket(router.ip(), router.port());
        socket.setSoTimeout(SOCKET_TIMEOUT_MS);
        return socket;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Reads until the router closes the connection, which it does after each refusal. */
    private static String readAll(InputStream in) throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }

    private static int running() {
        return sFleet.stats("engine").path("running").asInt();
    }
}
