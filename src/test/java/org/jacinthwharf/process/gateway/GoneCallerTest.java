package org.jacinthwharf.process.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.connection.BufferBudget;
import org.jacinthwharf.connection.ListeningPort;
import org.jacinthwharf.connection.Uploads;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.control.ConfigurationFollower;
import org.jacinthwharf.process.loop.NettyEventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against the load pattern of a busy gateway whose callers give up while their connections
 * or requests wait unread: the requests were started all the same and occupied backend servers.
 */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class GoneCallerTest {
    private static final int CALLERS = 40;

    private final NettyEventLoop mLoop = new NettyEventLoop("test", e -> {});
    private final List<String> mStarted = new CopyOnWriteArrayList<>();
    private final CallerConnection.CallerListener mNoListener =
            new CallerConnection.CallerListener() {
                @Override
                public void onCallerGone() {}

                @Override
                public void onWritabilityChanged(boolean writable) {}
            };
    private Channel mPort;

    @BeforeEach
    void listen() throws Exception {
        CallerConnections callers = new CallerConnections(4_096, new FleetMetrics());
        mPort =
                ListeningPort.open(
                        mLoop.group(),
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new CallerPipeline(
                                new GatewayConfiguration(
                                        VmId.of("vm"),
                                        new ConfigurationFollower(0),
                                        (vm, message) -> {},
                                        mLoop),
                                this::start,
                                () -> false,
                                callers,
                                new Uploads(new BufferBudget(1 << 20), System::nanoTime)));
    }

    @AfterEach
    void close() {
        mLoop.close();
    }

    private CallerConnection.CallerListener start(FullHttpRequest r, CallerConnection caller) {
        mStarted.add(r.uri());
        r.release();
        return mNoListener;
    }

    private Socket call(String path) throws IOException {
        Socket s = new Socket();
        s.connect(mPort.localAddress(), 1_000);
        String request = "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";
        s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return s;
    }

    private CountDownLatch blockLoop() {
        CountDownLatch blocked = new CountDownLatch(1);
        mLoop.execute(
                () -> {
                    try {
                        blocked.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        return blocked;
    }

    private void awaitStarted(String path) throws InterruptedException {
        while (!mStarted.contains(path)) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Test
    void requestsOfCallersThatLeftBeforeTheyWereReadAreNotStarted() throws Exception {
        CountDownLatch blocked = blockLoop();
        for (int i = 0; i < CALLERS; i++) {
            call("/gone").close();
        }
        try (Socket staying = call("/staying")) {
            blocked.countDown();
            awaitStarted("/staying");
            assertThat(mStarted).containsExactly("/staying");
        }
    }
}
