package org.hawthornglade.gateway.http;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/** Writes and closes without waiting; if a write fails, the channel is closed and its handler is notified. */
final class Channels {
    /** The rest of a refused request is discarded for this time. */
    private static final long DISCARD_REST_MS = 3_000;

    private Channels() {}

    @CanIgnoreReturnValue
    static ChannelFuture write(Channel channel, Object message) {
        return channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    @CanIgnoreReturnValue
    static ChannelFuture writeAndClose(Channel channel, Object message) {
        return channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Writes, and closes when the other side has closed or after a time.
     *
     * <p>Bytes that arrive after a close reset the connection, and the response could be lost with it.
     */
    @CanIgnoreReturnValue
    static ChannelFuture writeAndDiscardRest(Channel channel, Object message) {
        return channel.writeAndFlush(message).addListener(written -> {
            if (written.isSuccess()) {
                shutdownOutput(channel);
            } else {
                close(channel);
            }
        });
    }

    private static void shutdownOutput(Channel channel) {
        ((DuplexChannel) channel).shutdownOutput().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        channel.eventLoop()
                .schedule(() -> close(channel), DISCARD_REST_MS, TimeUnit.MILLISECONDS)
                .addListener(done -> {});
    }

    @SuppressWarnings("FutureReturnValueIgnored") // The handler is notified by channelInactive.
    static void close(Channel channel) {
        channel.close();
    }
}
