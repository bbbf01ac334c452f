package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Notifies a connection of bytes before and after decoding, so that it can limit bytes that yield no message. */
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
