package org.jacinthwharf.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;

/** Opens the ports of a process for HTTP. Stateless and thread-safe. */
public final class ListeningPort {
    private static final int ACCEPT_BACKLOG = 1_024;

    private ListeningPort() {}

    /**
     * Listens on an address.
     *
     * @param connectionHandler initializes the pipeline of each connection
     * @throws IOException if the address cannot be bound
     */
    public static Channel open(
            EventLoopGroup group, InetSocketAddress address, ChannelHandler connectionHandler)
            throws IOException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(connectionHandler)
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + address, bound.cause());
        }
        return bound.channel();
    }
}
