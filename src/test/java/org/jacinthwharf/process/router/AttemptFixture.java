package org.jacinthwharf.process.router;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.AbstractConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.ModelId;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.process.loop.NettyEventLoop;
import org.jacinthwharf.request.outcome.AnswerMatcher;
import org.jacinthwharf.request.outcome.AttemptEvent;
import org.jacinthwharf.request.outcome.AttemptId;
import org.jacinthwharf.request.outcome.StreamAssembler;

/** One attempt of a router at a backend server. Used by the test's thread only. */
final class AttemptFixture implements AutoCloseable {
    /** Headers that mark an answer as that to the attempt. */
    static final String ATTEMPT_HEADERS = "X-Request-Id: r1\r\nX-Attempt: 1\r\n";

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final RequestId ID = RequestId.of("r1");

    private final NettyEventLoop mLoop = new NettyEventLoop("test", e -> {});
    private final HttpClient mClient = new HttpFactory().newClient();
    private final CompletableFuture<AttemptEvent> mEvent = new CompletableFuture<>();

    AttemptFixture() throws Exception {
        mClient.start();
    }

    /** Sends the request and returns what receives its answer. */
    AttemptReceiver send(String address, boolean stream) {
        AnswerMatcher matcher = new AnswerMatcher(ID);
        return send(address, request(stream), 1, matcher, true, new Sink(mEvent));
    }

    /** Sends an attempt on a pooled connection, if there is one, and waits for its end. */
    AttemptEvent sendPooled(
            String address, CallerRequest request, int attempt, AnswerMatcher matcher)
            throws Exception {
        CompletableFuture<AttemptEvent> event = new CompletableFuture<>();
        send(address, request, attempt, matcher, false, new Sink(event));
        return event.get(5, TimeUnit.SECONDS);
    }

    private AttemptReceiver send(
            String address,
            CallerRequest request,
            int number,
            AnswerMatcher matcher,
            boolean newConnection,
            Sink sink) {
        AttemptId attempt = new AttemptId(request.id(), number);
        matcher.onSend(attempt);
        StreamAssembler assembler =
                request.lastEvent()
                        .map(e -> StreamAssembler.after(e.sequence()))
                        .orElseGet(StreamAssembler::fromStart);
        long next = assembler.nextSequence();
        AttemptReceiver receiver =
                new AttemptReceiver(attempt, request.stream(), matcher, assembler, sink);
        new BackendClient(mClient, mLoop, REQUEST_TIMEOUT)
                .send(
                        address,
                        request,
                        number,
                        next > 1 ? OptionalLong.of(next) : OptionalLong.empty(),
                        newConnection,
                        receiver);
        return receiver;
    }

    /** Keeps the event loop busy until the latch is released. */
    void holdUpLoop(CountDownLatch end) {
        mLoop.execute(
                () -> {
                    try {
                        end.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    /** Returns the number of open connections that wait for another attempt. */
    int idleConnections() {
        return mClient.getDestinations().stream()
                .map(d -> (AbstractConnectionPool) d.getConnectionPool())
                .mapToInt(AbstractConnectionPool::getIdleConnectionCount)
                .sum();
    }

    /** Returns how the attempt ended. */
    CompletableFuture<AttemptEvent> event() {
        return mEvent;
    }

    private static final class Sink implements AttemptReceiver.Sink {
        private final CompletableFuture<AttemptEvent> mEvent;

        Sink(CompletableFuture<AttemptEvent> event) {
            mEvent = event;
        }

        @Override
        public void onProgress(boolean first) {}

        @Override
        public void onStreamEvents(ByteString chunk, int events, Runnable whenWritten) {
            whenWritten.run();
        }

        @Override
        public String eventId(long sequence) {
            return Long.toString(sequence);
        }

        @Override
        public void onAttemptEvent(AttemptEvent event) {
            mEvent.complete(event);
        }

        @Override
        public void onDropped(AnswerMatcher.Match match) {}
    }

    private static CallerRequest request(boolean stream) {
        return new CallerRequest(
                ID,
                "r1",
                CustomerId.of("c"),
                ModelId.of("m"),
                "route",
                "GET",
                "/",
                "",
                ByteString.EMPTY,
                true,
                Optional.empty(),
                stream,
                OptionalDouble.empty(),
                10_000,
                Optional.empty());
    }

    @Override
    public void close() throws Exception {
        mClient.stop();
        mLoop.close();
    }
}
