package org.hawthornglade.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;

/** Writes and closes without waiting; if a write fails, the channel is closed and its handler is notified. */
final class Channels {
    private Channels() {}

    static void write(Channel channel, Object message) {
        channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    static void writeAndClose(Channel channel, Object message) {
        channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // The handler is notified by channelInactive.
    static void close(Channel channel) {
        channel.close();
    }
}
