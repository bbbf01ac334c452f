package org.hawthornglade.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;

/** Writes and closes without waiting: a failure of either ends the channel, which its handler is told. */
final class Channels {
    private Channels() {}

    static void write(Channel channel, Object message) {
        channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    static void writeAndClose(Channel channel, Object message) {
        channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // The handler learns of the end by channelInactive.
    static void close(Channel channel) {
        channel.close();
    }
}
