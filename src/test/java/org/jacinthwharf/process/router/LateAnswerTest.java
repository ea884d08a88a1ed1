package org.jacinthwharf.process.router;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.process.settings.Limits;
import org.jacinthwharf.request.outcome.AnswerMatcher;
import org.jacinthwharf.request.outcome.AttemptEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a late second answer on a pooled connection that is taken for the answer to a
 * later attempt, or that leaves the connection one answer behind.
 */
final class LateAnswerTest {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String EVENTS = "id: 6\ndata: a\n\nevent: end\ndata: {\"events\":6}\n\n";

    private final AtomicInteger mIds = new AtomicInteger();
    private final RequestParser mParser =
            new RequestParser(Limits.defaults(), () -> RequestId.of("r." + mIds.incrementAndGet()));
    private final List<Map<String, String>> mArrivals = new CopyOnWriteArrayList<>();
    private AttemptFixture mFixture;
    private ServerSocket mServer;

    /** Returns what a server writes for its n-th request, from 1, and the ones before it. */
    private interface Script {
        String answer(int number, List<Map<String, String>> arrivals);
    }

    @BeforeEach
    void start() throws Exception {
        mFixture = new AttemptFixture();
        mServer = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
    }

    @AfterEach
    void stop() throws Exception {
        mServer.close();
        mFixture.close();
    }

    private void serve(Script script) {
        CompletableFuture.runAsync(
                () -> {
                    while (!mServer.isClosed()) {
                        try {
                            Socket socket = mServer.accept();
                            CompletableFuture.runAsync(() -> serve(socket, script));
                        } catch (IOException closed) {
                            return;
                        }
                    }
                });
    }

    private void serve(Socket socket, Script script) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            while (in.readLine() != null) {
                Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
                for (String l = in.readLine(); !l.isEmpty(); l = in.readLine()) {
                    headers.put(l.substring(0, l.indexOf(':')), l.substring(l.indexOf(':') + 2));
                }
                in.skip(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
                mArrivals.add(headers);
                String answer = script.answer(mArrivals.size(), List.copyOf(mArrivals));
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // The router closes connections whose answers it does not trust.
        }
    }

    /** Returns an answer that carries the identity of a request. */
    private static String answer(Map<String, String> request, int status, String body) {
        boolean events = EVENT_STREAM.equals(request.get("Accept")) && status == 200;
        return "HTTP/1.1 "
                + status
                + " X\r\nX-Request-Id: "
                + request.get("X-Request-Id")
                + "\r\nX-Attempt: "
                + request.get("X-Attempt")
                + (events ? "\r\nContent-Type: " + EVENT_STREAM : "")
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private CallerRequest parse(Map<String, String> headers) {
        Map<String, String> all = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        all.putAll(headers);
        all.put("X-Customer", "c");
        all.put("X-Model", "m");
        return ((ParseResult.Parsed)
                        mParser.parse("POST", "/v1/generate", all::get, ByteString.EMPTY))
                .request();
    }

    private CallerRequest resume(String accept) {
        return parse(Map.of("Last-Event-ID", "r.77/s1/5", "Accept", accept));
    }

    private AttemptEvent send(CallerRequest request) throws Exception {
        return mFixture.sendPooled(
                "127.0.0.1:" + mServer.getLocalPort(), request, 1, new AnswerMatcher(request.id()));
    }

    // A caller resumes with the id of its stream each time: a success for a failure (MIXED).
    @ParameterizedTest
    @ValueSource(strings = {EVENT_STREAM, "application/json"})
    void lateAnswerToAnEarlierResumeIsNotTakenForThatToLaterOnes(String accept) throws Exception {
        serve(
                (number, arrivals) ->
                        number == 2
                                ? answer(arrivals.get(0), 200, EVENTS)
                                        + answer(arrivals.get(1), 500, "failed")
                                : answer(arrivals.get(0), 500, "failed"));
        assertThat(send(resume(accept))).isInstanceOf(AttemptEvent.ServerError.class);
        assertThat(send(resume(accept))).isInstanceOf(AttemptEvent.CrossedAnswer.class);
        assertThat(mArrivals).hasSize(2);
    }

    @Test
    void resumeCarriesAnIdOfItsOwnAndTheNextEventNumber() throws Exception {
        serve((number, arrivals) -> answer(arrivals.get(number - 1), 200, EVENTS));
        CallerRequest first = resume(EVENT_STREAM);
        CallerRequest second = resume(EVENT_STREAM);
        assertThat(send(first)).isInstanceOf(AttemptEvent.AnswerComplete.class);
        assertThat(send(second)).isInstanceOf(AttemptEvent.AnswerComplete.class);
        assertThat(mArrivals.stream().map(a -> a.get("X-Request-Id")).distinct().count())
                .isEqualTo(2);
        assertThat(mArrivals.stream().map(a -> a.get("X-Resume-From")).toList())
                .containsExactly("6", "6");
        assertThat(first.callerId()).isEqualTo("r.77");
    }

    // Guards against an attempt that waits for an answer that a late one was taken for.
    @ParameterizedTest
    @ValueSource(strings = {"late", ""})
    void lateAnswerToAnEarlierAttemptOfTheRequestEndsTheAttempt(String body) throws Exception {
        CallerRequest request = parse(Map.of());
        AnswerMatcher matcher = new AnswerMatcher(request.id());
        serve(
                (number, arrivals) ->
                        number == 2
                                ? answer(arrivals.get(0), 200, body)
                                        + answer(arrivals.get(1), 500, "failed")
                                : answer(arrivals.get(0), 500, "failed"));
        String address = "127.0.0.1:" + mServer.getLocalPort();
        assertThat(mFixture.sendPooled(address, request, 1, matcher))
                .isInstanceOf(AttemptEvent.ServerError.class);
        assertThat(mFixture.sendPooled(address, request, 2, matcher))
                .isInstanceOf(AttemptEvent.CrossedAnswer.class);
    }

    // Guards against a connection whose every answer is that to the request before.
    @ParameterizedTest
    @ValueSource(strings = {"late", ""})
    void connectionOfAnAnswerToAnotherRequestIsNotUsedAgain(String body) throws Exception {
        serve(
                (number, arrivals) ->
                        (number == 2 ? answer(arrivals.get(0), 200, body) : "")
                                + answer(arrivals.get(number - 1), 200, "own"));
        assertThat(send(parse(Map.of()))).isInstanceOf(AttemptEvent.AnswerComplete.class);
        assertThat(send(parse(Map.of()))).isInstanceOf(AttemptEvent.CrossedAnswer.class);
        for (int i = 0; i < 3; i++) {
            assertThat(send(parse(Map.of()))).isInstanceOf(AttemptEvent.AnswerComplete.class);
        }
    }

    // Guards against another attempt that takes the connection before the event loop has read whose
    // answer came on it.
    @Test
    void connectionOfAnAnswerToAnotherRequestIsNotOfferedToOthers() throws Exception {
        serve(
                (number, arrivals) ->
                        (number == 2 ? answer(arrivals.get(0), 200, "") : "")
                                + answer(arrivals.get(number - 1), 200, "own"));
        assertThat(send(parse(Map.of()))).isInstanceOf(AttemptEvent.AnswerComplete.class);
        CountDownLatch busy = new CountDownLatch(1);
        mFixture.holdUpLoop(busy);
        CompletableFuture<AttemptEvent> crossed =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return send(parse(Map.of()));
                            } catch (Exception e) {
                                throw new IllegalStateException(e);
                            }
                        });
        while (mArrivals.size() < 2) {
            Thread.sleep(5);
        }
        for (int i = 0; i < 100 && mFixture.idleConnections() == 0; i++) {
            Thread.sleep(5);
        }
        assertThat(mFixture.idleConnections()).isEqualTo(0);
        busy.countDown();
        assertThat(crossed.get(5, TimeUnit.SECONDS)).isInstanceOf(AttemptEvent.CrossedAnswer.class);
    }

    @Test
    void secondAnswerRightAfterTheFirstIsNotTakenForTheNext() throws Exception {
        serve(
                (number, arrivals) ->
                        answer(arrivals.get(number - 1), 200, "own")
                                + answer(arrivals.get(number - 1), 200, "again"));
        for (int i = 0; i < 5; i++) {
            assertThat(send(parse(Map.of())))
                    .isAnyOf(
                            new AttemptEvent.AnswerComplete(1),
                            new AttemptEvent.ConnectionClosed(1),
                            new AttemptEvent.CrossedAnswer(1));
        }
    }

    // Guards against a head that stops, and the next one that is read as a part of it.
    @Test
    void answerThatStopsWithinItsHeadDoesNotChangeTheStatusOfTheNext() throws Exception {
        String late = "HTTP/1.1 200 OK\r\nDate: today\r\n";
        for (int cut = 1; cut <= late.length(); cut++) {
            String begin = late.substring(0, cut);
            mArrivals.clear();
            mServer.close();
            mServer = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
            serve(
                    (number, arrivals) ->
                            number == 2
                                    ? begin + answer(arrivals.get(1), 500, "failed")
                                    : answer(arrivals.get(0), 200, "own"));
            assertThat(send(parse(Map.of()))).isInstanceOf(AttemptEvent.AnswerComplete.class);
            assertWithMessage(begin)
                    .that(send(parse(Map.of())))
                    .isNotInstanceOf(AttemptEvent.AnswerComplete.class);
        }
    }
}
