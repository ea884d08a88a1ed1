package org.jacinthwharf.process.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jacinthwharf.connection.ServerAddress;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.process.loop.NettyEventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a connection that carries an id twice, on which a late answer to the first request
 * could be taken for that to the second, and against ids that come again and cost a server more
 * connections than the limit.
 */
final class ServerPoolTest {
    private final NettyEventLoop mLoop = new NettyEventLoop("test", e -> {});
    private final AtomicInteger mAccepted = new AtomicInteger();
    private final AtomicInteger mOpen = new AtomicInteger();
    private final ServerPool mPool =
            new ServerPool(mLoop.group(), mLoop, new FleetMetrics(), new ReplacementRate());
    private ServerSocket mServer;
    private ServerAddress mAddress;

    @BeforeEach
    void startServer() throws IOException {
        mServer = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        String address = mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
        mAddress = ServerAddress.parse(address).orElseThrow();
        startDaemon(this::acceptConnections);
    }

    @AfterEach
    void stop() throws IOException {
        mServer.close();
        mLoop.close();
    }

    private static void startDaemon(Runnable run) {
        Thread t = new Thread(run, "server");
        t.setDaemon(true);
        t.start();
    }

    private void acceptConnections() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                mAccepted.incrementAndGet();
                mOpen.incrementAndGet();
                startDaemon(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    /** Answers each request, which ends with its head, until the pool closes the connection. */
    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.isEmpty()) {
                    socket.getOutputStream()
                            .write(
                                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                                            .getBytes(StandardCharsets.US_ASCII));
                }
            }
        } catch (IOException reset) {
            // The pool may reset a connection.
        } finally {
            mOpen.decrementAndGet();
        }
    }

    /** Completes with the use of the connection that brought the answer. */
    private static final class Listener implements ExchangeListener {
        private final CompletableFuture<ConnectionUse> mUse = new CompletableFuture<>();
        private ConnectionUse mHead;

        @Override
        public boolean onHead(HttpResponse head, ConnectionUse use) {
            mHead = use;
            return true;
        }

        @Override
        public void onBody(ByteBuf data) {}

        @Override
        public void onReadComplete() {}

        @Override
        public void onEnd(ExchangeEnd end, String cause) {
            if (end == ExchangeEnd.COMPLETE) {
                mUse.complete(mHead);
            } else {
                mUse.completeExceptionally(new IOException(cause));
            }
        }
    }

    /** Starts an exchange unless the pool refuses it. */
    private CompletableFuture<ConnectionUse> start(String id) {
        CompletableFuture<ConnectionUse> use = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    if (!mPool.canSend(mAddress, RequestId.of(id))) {
                        use.completeExceptionally(new IllegalStateException("refused"));
                        return;
                    }
                    Listener listener = new Listener();
                    mPool.send(mAddress, ServerPoolTest::newRequest, RequestId.of(id), listener);
                    listener.mUse.whenComplete(
                            (u, e) -> {
                                if (e == null) {
                                    use.complete(u);
                                } else {
                                    use.completeExceptionally(e);
                                }
                            });
                });
        return use;
    }

    private static Optional<FullHttpRequest> newRequest() {
        return Optional.of(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
    }

    private ConnectionUse send(String id) throws Exception {
        return awaitIdle(start(id));
    }

    /** Waits until the connection of an exchange is idle, after the read that ended the answer. */
    private ConnectionUse awaitIdle(CompletableFuture<ConnectionUse> exchange) throws Exception {
        ConnectionUse use = exchange.get(5, TimeUnit.SECONDS);
        CompletableFuture.runAsync(() -> {}, mLoop).get(5, TimeUnit.SECONDS);
        return use;
    }

    @Test
    void newIdsShareOneConnection() throws Exception {
        for (int i = 1; i <= 20; i++) {
            assertThat(send("id-" + i).ordinal()).isEqualTo(i);
        }
        assertThat(mAccepted.get()).isEqualTo(1);
    }

    @Test
    void anIdThatComesAgainTakesAnotherConnection() throws Exception {
        ConnectionUse first = send("same");
        ConnectionUse second = send("same");
        assertThat(second.localPort()).isNotEqualTo(first.localPort());
        assertThat(second.isFirst()).isTrue();
    }

    @Test
    void anIdThatComesAgainTakesAnIdleConnectionThatHasNotCarriedIt() throws Exception {
        CompletableFuture<ConnectionUse> one = start("one");
        CompletableFuture<ConnectionUse> two = start("two");
        awaitIdle(one);
        awaitIdle(two);
        assertThat(send("one").localPort()).isEqualTo(two.join().localPort());
        assertThat(mAccepted.get()).isEqualTo(2);
    }

    // The connection that is closed makes room, so that a server's limit on connections is not
    // reached by one id.
    @Test
    void anIdThatIsSentOverAndOverKeepsNoConnectionsOpen() throws Exception {
        for (int i = 0; i < ReplacementRate.ID_RATE.burst(); i++) {
            send("same");
        }
        assertThat(mAccepted.get()).isEqualTo(ReplacementRate.ID_RATE.burst());
        Thread.sleep(200);
        assertThat(mOpen.get()).isEqualTo(1);
    }

    @Test
    void anIdThatIsSentThousandsOfTimesOpensConnectionsAtTheLimitOnly() throws Exception {
        long start = System.nanoTime();
        int refused = 0;
        for (int i = 0; i < 5_000; i++) {
            try {
                send("same");
            } catch (ExecutionException e) {
                assertThat(e).hasCauseThat().isInstanceOf(IllegalStateException.class);
                refused++;
            }
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        assertThat(refused).isGreaterThan(0);
        assertThat((double) mAccepted.get())
                .isAtMost(
                        2
                                + ReplacementRate.ID_RATE.burst()
                                + seconds * ReplacementRate.ID_RATE.perSecond());
        // Other ids are not affected.
        assertThat(send("another").ordinal()).isEqualTo(2);
    }

    @Test
    void aConnectionIsClosedWhenItsMemoryOfIdsIsFull() throws Exception {
        for (int i = 0; i < CarriedIds.MAX_IDS; i++) {
            send("id-" + i);
        }
        assertThat(mAccepted.get()).isEqualTo(1);
        assertThat(send("one more").isFirst()).isTrue();
        assertThat(mAccepted.get()).isEqualTo(2);
    }
}
