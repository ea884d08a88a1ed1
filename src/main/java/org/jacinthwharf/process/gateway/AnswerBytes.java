package org.jacinthwharf.process.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Reports the bytes of a server connection before they are decoded, since the decoder discards some
 * of them without limit, such as blank lines before a head. Used on the event loop only.
 */
final class AnswerBytes extends ChannelInboundHandlerAdapter {
    private final ServerConnection mConnection;

    AnswerBytes(ServerConnection connection) {
        mConnection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes && !mConnection.onBytes(bytes.readableBytes())) {
            ReferenceCountUtil.release(message);
            return;
        }
        context.fireChannelRead(message);
    }
}
