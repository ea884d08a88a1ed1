package org.jacinthwharf.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jacinthwharf.process.settings.Endpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an operator who is told that a call took effect by what is no answer. */
final class ControlClientTest {
    private static ControlClient.Result callWith(String answer) throws Exception {
        try (ServerSocket member = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
                ControlClient client =
                        new ControlClient(
                                List.of(new Endpoint("127.0.0.1", member.getLocalPort())))) {
            CompletableFuture.runAsync(() -> serve(member, answer));
            return client.send(ControlClient.Call.get("/status"));
        }
    }

    private static void serve(ServerSocket member, String answer) {
        try (Socket socket = member.accept()) {
            byte[] request = new byte[8 << 10];
            if (socket.getInputStream().read(request) > 0) {
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
            while (socket.getInputStream().read(request) >= 0) {}
        } catch (IOException closed) {
            // The client closes a connection whose answer it refuses.
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 200 OK\r\nX\u0001A: b\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nhi"
            })
    void malformedHeadsAreNoAnswers(String answer) throws Exception {
        ControlClient.Result result = callWith(answer);
        assertThat(result.status()).isEqualTo(0);
        assertThat(result.body()).contains("no answer");
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK", "HTTP/1.1 200 "})
    void soundAnswersAreShown(String statusLine) throws Exception {
        assertThat(callWith(statusLine + "\r\nContent-Length: 2\r\n\r\nhi"))
                .isEqualTo(new ControlClient.Result(200, "hi"));
    }
}
