package org.jacinthwharf.process.gateway;

import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.function.BooleanSupplier;
import org.jacinthwharf.connection.BoundedReads;
import org.jacinthwharf.connection.RequestAssembler;
import org.jacinthwharf.connection.Uploads;
import org.jacinthwharf.request.dispatch.RouteTable;
import org.jacinthwharf.wire.generated.CallerLimits;

/** Sets up caller connections with the limits in force. Used on the event loop only. */
final class CallerPipeline extends ChannelInitializer<SocketChannel> {
    private static final int DEFAULT_HEADER_BYTES = 16 << 10;
    private static final int DEFAULT_BODY_BYTES = 4 << 20;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final GatewayConfiguration mConfiguration;
    private final CallerConnection.RequestHandler mHandler;
    private final BooleanSupplier mDraining;
    private final CallerConnections mCallers;
    private final Uploads mUploads;

    CallerPipeline(
            GatewayConfiguration configuration,
            CallerConnection.RequestHandler handler,
            BooleanSupplier draining,
            CallerConnections callers,
            Uploads uploads) {
        mConfiguration = configuration;
        mHandler = handler;
        mDraining = draining;
        mCallers = callers;
        mUploads = uploads;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        CallerLimits limits =
                mConfiguration
                        .routes()
                        .map(RouteTable::table)
                        .map(t -> t.getLimits())
                        .orElse(CallerLimits.getDefaultInstance());
        int header = orDefault(limits.getHeaderBytes(), DEFAULT_HEADER_BYTES);
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(header)
                        .setMaxHeaderSize(header)
                        .setMaxChunkSize(MAX_CHUNK_BYTES);
        CallerConnection caller = new CallerConnection(mHandler, mDraining, mCallers::remove);
        if (!mCallers.add(caller, System.nanoTime())) {
            channel.close();
            return;
        }
        RequestAssembler assembler =
                new RequestAssembler(
                        mUploads, orDefault(limits.getBodyBytes(), DEFAULT_BODY_BYTES));
        channel.config().setRecvByteBufAllocator(new BoundedReads(assembler::isReceivingLargeBody));
        channel.pipeline().addLast(new HttpServerCodec(config)).addLast(assembler).addLast(caller);
    }

    private static int orDefault(long value, int defaultValue) {
        return value > 0 && value < Integer.MAX_VALUE ? (int) value : defaultValue;
    }
}
