package org.jacinthwharf.connection;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jacinthwharf.process.loop.NettyEventLoop;
import org.junit.jupiter.api.Test;

/** Guards against connections that stay in the backlog while the event loop is busy. */
final class ListeningPortTest {
    private static final int CONNECTIONS = 200;
    private static final long BUSY_MILLIS = 20;

    private final NettyEventLoop mLoop = new NettyEventLoop("test", e -> {});
    private final AtomicInteger mRuns = new AtomicInteger();
    private final CountDownLatch mAccepted = new CountDownLatch(CONNECTIONS);

    private void occupyLoop() {
        mRuns.incrementAndGet();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BUSY_MILLIS);
        while (System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        mLoop.schedule(Duration.ofMillis(1), this::occupyLoop);
    }

    @Test
    void aBusyLoopAcceptsAllWaitingConnectionsInFewRuns() throws Exception {
        Channel port =
                ListeningPort.open(
                        mLoop.group(),
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                mAccepted.countDown();
                            }
                        });
        CountDownLatch blocked = new CountDownLatch(1);
        mLoop.execute(() -> await(blocked));
        List<Socket> callers = new ArrayList<>();
        try {
            for (int i = 0; i < CONNECTIONS; i++) {
                Socket s = new Socket();
                s.connect(port.localAddress(), 1_000);
                callers.add(s);
            }
            mLoop.schedule(Duration.ZERO, this::occupyLoop);
            blocked.countDown();
            assertThat(mAccepted.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(mRuns.get()).isAtMost(3);
        } finally {
            for (Socket s : callers) {
                s.close();
            }
            mLoop.close();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
