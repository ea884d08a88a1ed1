package org.jacinthwharf.connection;

import com.google.common.base.Ascii;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Optional;
import java.util.function.Predicate;
import org.jacinthwharf.id.LogText;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.Heartbeat;
import org.jacinthwharf.wire.generated.Hello;

/**
 * Sends the hello and the heartbeats of one channel, and passes its messages to the event loop.
 *
 * <p>Used by the channel's Netty thread only. Invariant: the listener is called with up, then
 * messages, then down.
 */
final class LinkHandler extends SimpleChannelInboundHandler<Envelope> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Envelope HEARTBEAT =
            Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build();

    private final Hello mSelf;
    private final EventLoop mLoop;
    private final LinkListener mListener;
    private final FleetMetrics mMetrics;
    private final Predicate<Envelope> mHasRoomFor;
    private Optional<Link> mLink = Optional.empty();

    /**
     * Creates the handler of one channel.
     *
     * @param hasRoomFor whether a message may be sent, in view of the unsent bytes of all links
     */
    LinkHandler(
            Hello self,
            EventLoop loop,
            LinkListener listener,
            FleetMetrics metrics,
            Predicate<Envelope> hasRoomFor) {
        mSelf = self;
        mLoop = loop;
        mListener = listener;
        mMetrics = metrics;
        mHasRoomFor = hasRoomFor;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(Envelope.newBuilder().setHello(mSelf).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
        countBytes("in", message);
        switch (message.getPayloadCase()) {
            case HELLO -> open(context.channel(), message.getHello());
            case HEARTBEAT -> {}
            default -> mLink.ifPresent(l -> mLoop.execute(() -> deliver(l, message)));
        }
    }

    private void deliver(Link link, Envelope message) {
        try {
            mListener.onMessage(link, message);
        } catch (RuntimeException e) {
            if (!mListener.isContained(message)) {
                throw e;
            }
            mMetrics.countEvent("message_fault");
            LOGGER.atSevere().withCause(e).log(
                    "event=message_fault peer=%s payload=%s",
                    link.peer().getVmId(), message.getPayloadCase());
            link.close();
        }
    }

    private void open(Channel channel, Hello peer) {
        if (mLink.isPresent()) {
            return;
        }
        if (VmId.parse(peer.getVmId()).isEmpty() || peer.getIncarnation() < 0) {
            LOGGER.atWarning().log(
                    "event=link_refused reason='malformed hello' peer=%s",
                    LogText.of(peer.getVmId()));
            channel.close();
            return;
        }
        Link link = new ChannelLink(channel, peer);
        mLink = Optional.of(link);
        LOGGER.atInfo().log(
                "event=link_up peer=%s incarnation=%d", peer.getVmId(), peer.getIncarnation());
        mLoop.execute(() -> mListener.onUp(link));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent idle) {
            if (idle.state() == IdleState.READER_IDLE) {
                LOGGER.atInfo().log("event=link_silent peer=%s", peerName());
                context.close();
            } else {
                countBytes("out", HEARTBEAT);
                context.writeAndFlush(HEARTBEAT);
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mLink.ifPresent(
                l -> {
                    LOGGER.atInfo().log("event=link_down peer=%s", peerName());
                    mLoop.execute(() -> mListener.onDown(l));
                });
        mLink = Optional.empty();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.atInfo().log("event=link_failed peer=%s cause='%s'", peerName(), cause);
        context.close();
    }

    private String peerName() {
        return mLink.map(l -> l.peer().getVmId()).orElse("unknown");
    }

    private void countBytes(String direction, Envelope message) {
        String name = Ascii.toLowerCase(message.getPayloadCase().name());
        mMetrics.countControlBytes(direction, name, message.getSerializedSize());
    }

    /** A link over one channel. Thread-safe, as Netty channels are. */
    private final class ChannelLink implements Link {
        private final Channel mChannel;
        private final Hello mPeer;

        ChannelLink(Channel channel, Hello peer) {
            mChannel = channel;
            mPeer = peer;
        }

        @Override
        public Hello peer() {
            return mPeer;
        }

        @Override
        public boolean send(Envelope message) {
            if (!mChannel.isActive() || !mChannel.isWritable() || !mHasRoomFor.test(message)) {
                return false;
            }
            countBytes("out", message);
            mChannel.writeAndFlush(message, mChannel.voidPromise());
            return true;
        }

        @Override
        public void close() {
            mChannel.close();
        }
    }
}
