package org.hawthornglade.gateway.http;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/** Writes and closes without waiting; if a write fails, the channel is closed and its handler is notified. */
final class Channels {
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
     * <p>Bytes that arrive after a close reset the connection, and the response could be lost with it. An end of the
     * process, or of its machine, would cut off what the system has not delivered yet.
     *
     * @param timeoutMs how long to wait for the other side after the message is handed to the system
     */
    @CanIgnoreReturnValue
    static ChannelFuture writeAndAwaitClose(Channel channel, Object message, long timeoutMs) {
        return channel.writeAndFlush(message).addListener(written -> {
            if (written.isSuccess()) {
                shutdownOutput(channel, timeoutMs);
            } else {
                close(channel);
            }
        });
    }

    private static void shutdownOutput(Channel channel, long timeoutMs) {
        ((DuplexChannel) channel).shutdownOutput().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        channel.eventLoop()
                .schedule(() -> close(channel), timeoutMs, TimeUnit.MILLISECONDS)
                .addListener(done -> {});
    }

    @SuppressWarnings("FutureReturnValueIgnored") // The handler is notified by channelInactive.
    static void close(Channel channel) {
        channel.close();
    }
}
