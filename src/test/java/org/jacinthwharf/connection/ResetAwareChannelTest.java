package org.jacinthwharf.connection;

import static com.google.common.truth.Truth.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.jacinthwharf.process.loop.NettyEventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a reset that is taken for an orderly close, and the other way round. */
final class ResetAwareChannelTest {
    private final NettyEventLoop mLoop = new NettyEventLoop("test", e -> {});
    private ServerSocket mServer;
    private ResetAwareChannel mChannel;
    private Socket mPeer;

    @BeforeEach
    void connect() throws Exception {
        mServer = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        mChannel =
                (ResetAwareChannel)
                        new Bootstrap()
                                .group(mLoop.group())
                                .channel(ResetAwareChannel.class)
                                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                                .handler(new ChannelInboundHandlerAdapter())
                                .connect(mServer.getLocalSocketAddress())
                                .sync()
                                .channel();
        mPeer = mServer.accept();
    }

    @AfterEach
    void stop() throws IOException {
        mPeer.close();
        mServer.close();
        mLoop.close();
    }

    /** Waits for the end of the input, and for what may follow it. */
    private boolean isResetAfterEndOfInput() throws Exception {
        Awaitility.await().until(mChannel::isInputShutdown);
        Thread.sleep(50);
        return CompletableFuture.supplyAsync(mChannel::isReset, mLoop).get(5, TimeUnit.SECONDS);
    }

    private void send(int length) throws Exception {
        mChannel.writeAndFlush(mChannel.alloc().buffer(length).writeZero(length)).sync();
    }

    @Test
    void closesAfterEverythingWasReadAreNoResets() throws Exception {
        send(3);
        assertThat(mPeer.getInputStream().readNBytes(3)).hasLength(3);
        mPeer.close();
        assertThat(isResetAfterEndOfInput()).isFalse();
    }

    @Test
    void endsOfOutputAreNoResetsWhileThePeerReadsOn() throws Exception {
        send(3);
        mPeer.shutdownOutput();
        assertThat(isResetAfterEndOfInput()).isFalse();
    }

    @Test
    void closesBeforeEverythingWasReadAreResets() throws Exception {
        send(3);
        assertThat(mPeer.getInputStream().read()).isEqualTo(0);
        mPeer.close();
        assertThat(isResetAfterEndOfInput()).isTrue();
    }

    @Test
    void openConnectionsAreNotReset() throws Exception {
        assertThat(CompletableFuture.supplyAsync(mChannel::isReset, mLoop).get()).isFalse();
        assertThat(mChannel.isActive()).isTrue();
    }
}
