package org.jacinthwharf.process;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.connection.LinkListener;
import org.jacinthwharf.connection.Links;
import org.jacinthwharf.process.loop.ThreadEventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.Hello;
import org.jacinthwharf.wire.generated.Subscribe;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards the links between processes against connections that go silent without closing. */
final class LinksTest {
    private final ThreadEventLoop mLoop = ThreadEventLoop.haltingProcess("links-test");
    private final Links mOpener = links("opener");
    private final Links mAccepter = links("accepter");
    private final Recorder mOpened = new Recorder();
    private final Recorder mAccepted = new Recorder();
    private Relay mRelay;

    /** Records the notifications of a listener. */
    private static final class Recorder implements LinkListener {
        final List<Link> mUp = new CopyOnWriteArrayList<>();
        final List<Long> mMessages = new CopyOnWriteArrayList<>();
        final AtomicInteger mDown = new AtomicInteger();

        @Override
        public void onUp(Link link) {
            mUp.add(link);
        }

        @Override
        public void onMessage(Link link, Envelope message) {
            mMessages.add(message.getSubscribe().getRevision());
        }

        @Override
        public void onDown(Link link) {
            mDown.incrementAndGet();
        }
    }

    private Links links(String name) {
        Hello self = Hello.newBuilder().setVmId(name).setIncarnation(1).setRole("router").build();
        return new Links(self, mLoop, new FleetMetrics());
    }

    @BeforeEach
    void openLink() throws Exception {
        InetSocketAddress target = freeAddress();
        InetSocketAddress relayed = freeAddress();
        mAccepter.accept(target, mAccepted).join();
        mRelay = new Relay(relayed.getPort(), target);
        mOpener.keepOpen(relayed, mOpened);
        ProcessFleet.await(
                "both sides are up", () -> mOpened.mUp.size() + mAccepted.mUp.size() == 2);
    }

    private static InetSocketAddress freeAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
    }

    @AfterEach
    void close() throws Exception {
        mOpener.close();
        mAccepter.close();
        mRelay.close();
        mLoop.close();
    }

    /** Guards against a silent connection that is never detected as broken. */
    @Test
    void silentLinkClosesWithinItsLimitOnBothSidesAndOpensAgain() {
        long since = System.nanoTime();
        mRelay.stallOpenConnections();
        ProcessFleet.await(
                "both sides are down", () -> mOpened.mDown.get() + mAccepted.mDown.get() == 2);
        Duration down = Duration.ofNanos(System.nanoTime() - since);
        assertThat(down).isLessThan(Links.SILENCE_LIMIT.multipliedBy(2));
        ProcessFleet.await(
                "both sides are up again", () -> mOpened.mUp.size() + mAccepted.mUp.size() == 4);
    }

    /** Guards against reordered messages, and an idle link that closes in spite of heartbeats. */
    @Test
    void messagesArriveInOrderOnLinkThatHeartbeatsKeepOpen() {
        int count = 2_000;
        send(0, count / 2);
        long since = System.nanoTime();
        ProcessFleet.await(
                "the link was idle for longer than the limit",
                () ->
                        System.nanoTime() - since
                                > Links.SILENCE_LIMIT.multipliedBy(5).toNanos() / 4);
        send(count / 2, count);
        ProcessFleet.await("all messages are there", () -> mAccepted.mMessages.size() == count);
        assertThat(mAccepted.mMessages)
                .containsExactlyElementsIn(LongStream.range(0, count).boxed().toList())
                .inOrder();
        assertThat(mOpened.mDown.get()).isEqualTo(0);
    }

    private void send(int from, int to) {
        for (int i = from; i < to; i++) {
            Subscribe payload = Subscribe.newBuilder().setRevision(i).build();
            Envelope message = Envelope.newBuilder().setSubscribe(payload).build();
            assertThat(mOpened.mUp.get(0).send(message)).isTrue();
        }
    }
}
