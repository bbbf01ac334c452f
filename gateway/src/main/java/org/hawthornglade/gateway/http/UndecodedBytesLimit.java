package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells a connection of bytes before and after they are decoded, so that it sees those that make no message. */
final class UndecodedBytesLimit extends ChannelInboundHandlerAdapter {
    private final OutboundConnection connection;

    UndecodedBytesLimit(OutboundConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            connection.onBytes(bytes.readableBytes());
        }
        context.fireChannelRead(message);
        connection.onDecoded();
    }
}
