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

/** Guards a router against callers that send what is malformed, too large or too slow. */
final class EdgeProcessesTest {
    private static final String HEAD =
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
    void otherRequestsGoOn() {
        Call.Answer answer =
                Call.generate(sFleet.http("r1"), "counter", "other", 3, false, "").join();
        assertWithMessage("%s", answer).that(answer.status()).isEqualTo(200);
    }

    /** Guards against a malformed request line without a refusal that a caller can read. */
    @Test
    void malformedRequestLineIsRefusedWithItsReason() throws Exception {
        assertRefused("malformed_request", 400, out -> write(out, "GET\r\n\r\n"));
    }

    /** Guards against headers that take memory without bound. */
    @Test
    void headerThatIsTooLongIsRefusedWithItsReason() throws Exception {
        String header = "X-Long: " + "x".repeat(32 << 10) + "\r\n\r\n";
        assertRefused("header_too_large", 431, out -> write(out, HEAD + header));
    }

    /** Guards against a body that holds its connection for ever. */
    @Test
    void bodyThatIsTooSlowIsRefusedWithItsReason() throws Exception {
        assertRefused(
                "body_too_slow", 408, out -> write(out, HEAD + "Content-Length: 100\r\n\r\n{"));
    }

    /** Guards against a body without a stated length that takes memory without bound. */
    @Test
    void chunkedBodyThatIsTooLargeIsRefusedWithItsReason() throws Exception {
        assertRefused(
                "body_too_large",
                413,
                out -> {
                    write(out, HEAD + "Transfer-Encoding: chunked\r\n\r\n");
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

    /** Guards against a slot that stays in use for a caller that is gone. */
    @Test
    void requestOfCallerThatDisconnectsIsCancelledAtTheServer() throws Exception {
        double gone = sFleet.counted("r1", "caller_gone");
        String body = "{\"prompt\":\"gone\",\"tokens\":1500}";
        try (Socket caller = connect()) {
            String length = "Content-Length: " + body.length() + "\r\n";
            String accept = "Accept: text/event-stream\r\n\r\n";
            write(caller.getOutputStream(), HEAD + length + accept + body);
            ProcessFleet.await("the request runs", () -> running() == 1);
        }
        // The stream alone would take 30 s.
        ProcessFleet.awaitWithin(
                java.time.Duration.ofSeconds(15), "the server runs nothing", () -> running() == 0);
        ProcessFleet.await(
                "the event is counted", () -> sFleet.counted("r1", "caller_gone") > gone);
    }

    private interface Sending {
        void to(OutputStream out) throws IOException;
    }

    private static void assertRefused(String reason, int status, Sending sending)
            throws IOException {
        long before = sFleet.counted("r1", reason);
        try (Socket caller = connect()) {
            try {
                sending.to(caller.getOutputStream());
            } catch (SocketException e) {
                // The router may close its side before all is sent; its answer is still there.
                assertThat(caller.isClosed()).isFalse();
            }
            String answer = readAll(caller.getInputStream());
            assertThat(answer).startsWith("HTTP/1.1 " + status);
            assertThat(answer).contains("\"reason\":\"" + reason + "\"");
            assertThat(answer).contains("X-Outcome: not_run");
        }
        assertThat(sFleet.counted("r1", reason)).isEqualTo(before + 1);
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

    /** Reads until the router closes the connection, which it does after each of these answers. */
    private static String readAll(InputStream in) throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }

    private static int running() {
        return sFleet.stats("engine").path("running").asInt();
    }
}
